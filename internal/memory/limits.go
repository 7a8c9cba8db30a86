// Package memory keeps the whole resident set of the process under the platform's limit: it divides the limit among the parts
// that hold what peers send or do not read, counts what they hold, and reports it.
package memory

const (
	megabyte = 1 << 20

	defaultLimitMB = 2048 // where the platform sets no limit
	minLimitMB     = 32

	// programBytes is the part of the limit for what the Go runtime does not manage: mapped pages of the program's file and
	// libraries, thread stacks, and data of the C library.
	programBytes = 16 * megabyte

	// restingBytes is the part of the limit that a limiter at rest needs, with programBytes.
	restingBytes = 24 * megabyte

	goShare = 0.75 // of the limit, at most, for the Go runtime
)

// Shares of what the limit leaves above restingBytes.
const (
	commandShare    = 0.20 // requests in hand
	answerShare     = 0.12 // answers that clients have not read yet
	inputShare      = 0.08 // incomplete commands
	serverDataShare = 0.08 // incomplete answers of servers
	customerShare   = 0.15 // records of customers
	callShare       = 0.15 // gRPC calls in hand, of all services together
	serverShare     = 0.25 // connections to servers, dials included
	listShare       = 0.54 // the list of servers, beside which the others are seldom full; 3,200 servers have room at the smallest limit
)

const (
	// serverConnectionBytes is what a connection to a server takes: its reader's or its dial's stack, and what belongs to it.
	serverConnectionBytes = 16 << 10

	minServerConnections = 64
)

// Limits says how many bytes each part of the program may hold.
type Limits struct {
	Process    int64 // the whole resident set
	Go         int64 // the Go runtime, with garbage
	Commands   int64
	Answers    int64
	Input      int64
	ServerData int64
	Customers  int64
	Calls      int64
	List       int64

	ServerConnections int
}

// Divide divides a limit in MB; 0 stands for no limit.
func Divide(limitMB int64) Limits {
	if limitMB <= 0 {
		limitMB = defaultLimitMB
	}
	process := max(limitMB, minLimitMB) * megabyte
	left := float64(process - restingBytes)
	part := func(share float64) int64 { return int64(share * left) }
	return Limits{
		Process:    process,
		Go:         min(int64(goShare*float64(process)), process-programBytes),
		Commands:   part(commandShare),
		Answers:    part(answerShare),
		Input:      part(inputShare),
		ServerData: part(serverDataShare),
		Customers:  part(customerShare),
		Calls:      part(callShare),
		List:       part(listShare),

		ServerConnections: max(minServerConnections, int(part(serverShare)/serverConnectionBytes)),
	}
}

// Budgets bound what the parts of the program hold together.
type Budgets struct {
	Commands   *Budget
	Answers    *Budget
	Input      *Budget
	ServerData *Budget
	Calls      *Budget
}

// NewBudgets returns the budgets that the limits give.
func NewBudgets(l Limits) Budgets {
	return Budgets{
		Commands:   NewBudget("commands", l.Commands),
		Answers:    NewBudget("answers", l.Answers),
		Input:      NewBudget("input", l.Input),
		ServerData: NewBudget("server-data", l.ServerData),
		Calls:      NewBudget("calls", l.Calls),
	}
}

// All returns all budgets.
func (b Budgets) All() []*Budget {
	return []*Budget{b.Commands, b.Answers, b.Input, b.ServerData, b.Calls}
}
