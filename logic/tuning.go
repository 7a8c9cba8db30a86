package logic

import "time"

// Most of the constants of the decisions; those of one file alone may stand there. The even share of a quota is what a gateway
// may use that knows nothing of the others (see evenShare).

// Time.
const (
	ms = time.Millisecond

	// tick is the period of the gateway's own timer. Every held request waits for a tick, so a longer one adds to every hold.
	tick = 10 * time.Millisecond

	// answerMargin is how long before the client's deadline the final answer goes out.
	answerMargin = 6 * ms

	// customerIdleTimeout is how long after its last request a customer's whole record is dropped. A dormant one is dropped
	// between one and two such times after it became dormant. It also bounds the time to come back that a refusal gets from
	// the servers' load (see timeUntilRoom).
	customerIdleTimeout = 60 * time.Second

	// logInterval is the least time between two log lines of the same kind.
	logInterval = 5 * time.Second
)

// Forecast of a customer's demand, and the split of its quota by the gateways' forecasts.
const (
	// forecastSmoothing is the weight of the newest change of demand in the smoothed change.
	forecastSmoothing = 0.3

	// riseMargin is how many smoothed deviations (here: rises) are added to the forecast.
	riseMargin = 5.0 / 3

	// minInterval bounds a customer's forecast interval from below: each interval costs counter calls.
	minInterval = time.Second

	// maxInterval bounds the forecast interval where there are few gateways.
	maxInterval = 2 * time.Second

	// minReportedShare is the forecast, as a share of the even share, below which a gateway does not report it.
	minReportedShare = 0.3

	// stepsPerEvenShare is how many steps make up an even share in reported forecasts, where few enough gateways share the
	// sum.
	stepsPerEvenShare = 8

	// maxForecastSteps bounds a reported forecast, in steps: to 8 even shares where stepsPerEvenShare steps make up one.
	maxForecastSteps = 64

	// maxPackedSum bounds, in one packed number, the number of gateways and the sum of what they forecast within their even
	// shares, in steps. A customer with more gateways gets even shares.
	maxPackedSum = 127

	// minSummedCapShare is a gateway's even share of a concurrency cap, in attempts, below which it is too coarse for a split by
	// sums.
	minSummedCapShare = 2.0
)

// Pacing of held requests: the weights a and b of (1 + a*max(0, S-B)/B + b*E/bucketSize) / B, where B is the share (see
// spacing).
const (
	pacingProportional = 0.1 // a: weight of S, the recent rate, above the share
	pacingIntegral     = 0.1 // b: weight of E, the recent excess
)

// Calls to the quota counters.
const (
	// counterCallsPerRequest is how many counter calls each request earns.
	counterCallsPerRequest = 1.2

	// counterCallBurst is how many earned calls may be saved up, and made at once.
	counterCallBurst = 30.0

	// manyGatewaysCallBurst takes the place of counterCallBurst at one of many gateways: what one of few may do at once is too
	// much for a counter that many call.
	manyGatewaysCallBurst = 8.0

	// callsKeptForMaxPrice is how many calls stay saved for the plan of the highest price.
	callsKeptForMaxPrice = 3.0

	// minCallShare is the least share of the wanted calls that is made while a counter fails or is overloaded.
	minCallShare = 0.05

	// callShareGrowth multiplies that share with each answer. A failure multiplies it by 0.8, and with 1.02 twelve answers make up
	// for that. So one failure in thirteen calls is tolerated; at one in twelve or more the share falls towards its minimum.
	callShareGrowth = 1.02

	// failuresBeforeBackoff is from how many failures on, without an OK between them, calls to a counter pause.
	failuresBeforeBackoff = 3

	// maxCounterBackoff bounds the mean pause in calls to a counter that fails, since a counter that is back does not say so.
	// Each pause is drawn between half the mean and one and a half times the mean.
	maxCounterBackoff = time.Second

	// maxFullCounterBackoff is the same bound where the counter turned the call away (Full): the mean is doubled once more then.
	maxFullCounterBackoff = 2 * maxCounterBackoff

	// counterCallTimeout is the time-out of a counter call, or Settings.CounterLimit if that is longer: so long is an answer of
	// use that no request waits for. Where a request of one of few gateways waits, the time-out is Settings.CounterLimit.
	// counterCallTimeout is also the pause in draws from a shared bucket after a failed one, and the time over which the gateways
	// spread the repeated reports to a counter that turned them away.
	counterCallTimeout = 250 * ms

	// minRereportShare is the least share of calls made that counts when repeated reports are spread: the fewer calls are
	// made, the longer the time they are spread over, counterCallTimeout / minRereportShare at most.
	minRereportShare = 0.3
)

// Few gateways take the fractions of slots of a cap in turns by the shared clock (see slotLimit). Where the plan also has a
// rate, an even share below one slot is taken so even while the customer sends little: gateways that each allowed one attempt
// would exceed the cap together.
const (
	// maxTurnTime bounds the length of a turn.
	maxTurnTime = 600 * ms

	// turnAimShare bounds the length of a turn to this share of the shortest aim, so that the wait for a turn leaves time for
	// an answer.
	turnAimShare = 0.8
)

// Draws from the counter, where a share is too coarse to be dealt out.
const (
	// slotDrawInterval is the length of the intervals in which drawn slots of a cap are counted. Each interval has a new count, so
	// a slot whose return was lost is missing for so long at most.
	slotDrawInterval = 2 * time.Second

	// maxDrawsPerRequest bounds the counter calls that one request may cause.
	maxDrawsPerRequest = 3

	// busyLoad is the load on a quota (demand over quota) from which on it is remembered (see loadEstimates). Remembered loads
	// thin the draws out: those that may ask the counter above load 1, requests that cannot ask it above unaskedQuotaShare.
	busyLoad = 0.8

	// unaskedQuotaShare is the share of a quota that is passed where the counter cannot be asked and a load is remembered.
	unaskedQuotaShare = 0.8

	// maxOnDemandShares is how many gateways at most are taken to carry a customer whose quota is drawn on demand: most of its
	// requests come through so few. Its share is sized by that number.
	maxOnDemandShares = 6.0

	// loadEstimateTTL is how long a load of busyLoad or more is remembered after the counter's answer that showed it.
	loadEstimateTTL = 8 * time.Second

	// sharedBucketRequests is the size of a gateway's bucket, in requests of typical units, below which its share is too
	// coarse for sums: the customer's units are drawn from a token bucket shared by all gateways.
	sharedBucketRequests = 4.0

	// maxDrawUnits is how many units may be drawn from the shared bucket and unused at once, unless one request needs more.
	// While the last total is not fresh (see isFresh) it is 1.
	maxDrawUnits = 3.0
)

// Units kept for requests of more worth (see keptForWorth).
const (
	// worthReserveLoad is the demand, as a share of the gateway's share, above which a customer has units kept.
	worthReserveLoad = 0.6

	// maxWorthReserveRequests bounds what is kept, in requests of mean size.
	maxWorthReserveRequests = 2.0

	// maxWorthReserveShare bounds what is kept, as a share of the bucket.
	maxWorthReserveShare = 0.5
)

// ttlTolerance is by how much the time left may differ between first tries of two clients, for the time they took to get here.
const ttlTolerance = 20 * ms

// Outlier ejection of servers.
const (
	// failureSmoothing is the weight of the newest outcome in a server's failure rate.
	failureSmoothing = 0.2

	// ejectFailureRate is the failure rate above which a server is ejected.
	ejectFailureRate = 0.35

	// minEjectTime is the time before the first trial; each failed trial doubles it, up to maxEjectTime.
	minEjectTime = time.Second
	maxEjectTime = 8 * time.Second

	// manyGatewaysEjectFactor lengthens the time before a trial by this times unseenShare, to five times at most: each of many
	// gateways tries the server.
	manyGatewaysEjectFactor = 4.0

	// hungLatencies is how many mean latencies a server's attempts may be unanswered, taken together, before it looks hung.
	hungLatencies = 7.0

	// minHungLatency is the least latency for that rule: a quick server may pause, too.
	minHungLatency = 100 * ms
)

// Retry budget.
const (
	retryTokensPerRequest = 0.2  // earned by each first attempt
	maxRetryTokens        = 20.0 // that may be saved up

	// unrunRetryCost is what a retry costs at one of many gateways if nothing ran at the server. Where the attempt did not leave,
	// the retry costs nothing; any other costs 1.
	unrunRetryCost = 0.2
)

// Concurrency limit of an upstream group's servers.
const (
	initialLimit   = 12.0 // attempts in flight at a server by all gateways at first
	maxServerLimit = 64.0 // attempts in flight at a server by one gateway

	// growBelowAimShare is the smoothed latency, as a share of the aim, below which the limit grows.
	growBelowAimShare = 0.3

	// cutAboveAimShare is the smoothed latency, as a share of the aim, above which the limit falls.
	cutAboveAimShare = 0.4

	// slowLatencyFactor is the latency, relative to the idle one, from which on time-outs are taken for overload, too.
	slowLatencyFactor = 2.0

	// maxTimeoutAimShare bounds the share of the aim that a time-out counts for while answers are quicker than that.
	maxTimeoutAimShare = 0.5

	// minLimitCutInterval is the least time between two cuts of the limit.
	minLimitCutInterval = 100 * ms

	// roomyLatencyFactor is the latency, relative to the idle one, below which the servers have room to spare.
	roomyLatencyFactor = 1.5

	// coldLoadShare is the load of a cold server, relative to that of a warm one and by capacity.
	coldLoadShare = 0.8
)

// Many gateways.
const (
	// ownViewGateways is the number of gateways up to which a gateway goes by its own observations without correction.
	ownViewGateways = 4.0

	// preferredServers is how many servers, the first fit ones in its own order (see rendezvousRank), one of many gateways
	// draws from.
	preferredServers = 10

	// drawnServers is how many of these are drawn at random for an attempt.
	drawnServers = 3

	// maxServersScanned bounds how many servers are looked at for one attempt. They are a sample: it is no cap on their number.
	maxServersScanned = 100
)

// tickToken is the token of the gateway's own timer. The tokens of requests are above it.
const tickToken = 0

// What a counter's name holds. The numbers are part of the name, so all gateways must agree on them.
const (
	forecastSums int64 = 0 // packed sums of the gateways' forecasts
	quotaUse     int64 = 1 // units used, or attempts begun, in an interval
	slotsTaken   int64 = 2 // slots of a cap that are taken
	bucketDraws  int64 = 3 // running total of the units drawn from a shared bucket
)
