package admin

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"bramblefall/internal/admin/adminpb"
	"bramblefall/internal/core"
	"bramblefall/internal/plans"
	"bramblefall/logic"
)

// toTimestamp converts Unix time; 0 (not set) becomes an absent timestamp.
func toTimestamp(d time.Duration) *timestamppb.Timestamp {
	if d == 0 {
		return nil
	}
	return timestamppb.New(time.Unix(0, int64(d)))
}

// fromTimestamp is the inverse of toTimestamp.
func fromTimestamp(t *timestamppb.Timestamp) time.Duration {
	if t == nil {
		return 0
	}
	return time.Duration(t.AsTime().UnixNano())
}

func tierToProto(p logic.Plan) *adminpb.Tier {
	return &adminpb.Tier{Name: p.Name, Rate: p.Rate, Burst: p.Burst, Open: int64(p.Open), Price: p.Price,
		OverWorth: p.OverWorth, OverCost: p.OverCost, CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst,
		CeilingSlack: p.CeilingSlack}
}

func tierFromProto(t *adminpb.Tier) logic.Plan {
	return logic.Plan{Name: t.GetName(), Rate: t.GetRate(), Burst: t.GetBurst(), Open: int(t.GetOpen()), Price: t.GetPrice(),
		OverWorth: t.GetOverWorth(), OverCost: t.GetOverCost(), CeilingRate: t.GetCeilingRate(),
		CeilingBurst: t.GetCeilingBurst(), CeilingSlack: t.GetCeilingSlack()}
}

// VersionToProto converts a version to its protobuf message.
func VersionToProto(v plans.Version) *adminpb.Version {
	out := &adminpb.Version{Number: v.Number, Effective: toTimestamp(v.Effective), Note: v.Note, Author: v.Author, Source: string(v.Source)}
	for _, t := range v.Tiers {
		out.Tiers = append(out.Tiers, tierToProto(t))
	}
	for _, f := range v.Firms {
		o := &adminpb.Firm{Firm: f.Firm, Tier: f.Tier}
		if f.Own != nil {
			o.Own = tierToProto(*f.Own)
		}
		out.Firms = append(out.Firms, o)
	}
	return out
}

// VersionFromProto converts a protobuf message to a version.
func VersionFromProto(v *adminpb.Version) plans.Version {
	out := plans.Version{Number: v.GetNumber(), Effective: fromTimestamp(v.GetEffective()), Note: v.GetNote(), Author: v.GetAuthor(),
		Source: plans.Source(v.GetSource())}
	for _, t := range v.GetTiers() {
		out.Tiers = append(out.Tiers, tierFromProto(t))
	}
	for _, f := range v.GetFirms() {
		o := plans.Firm{Firm: f.GetFirm(), Tier: f.GetTier()}
		if f.GetOwn() != nil {
			own := tierFromProto(f.GetOwn())
			o.Own = &own
		}
		out.Firms = append(out.Firms, o)
	}
	return out
}

// ReservationToProto converts a reservation and its use to its protobuf message.
func ReservationToProto(r plans.Reservation, use core.ReservationUse) *adminpb.Reservation {
	return &adminpb.Reservation{Id: r.ID, Firm: r.Firm, Units: r.Units, Rate: r.Rate, Start: toTimestamp(r.From), End: toTimestamp(r.Until),
		Note: r.Note, Source: string(r.Source), State: string(r.State), Used: use.Used, Leased: use.Leased}
}

// ReservationFromProto converts a protobuf message to a reservation.
func ReservationFromProto(r *adminpb.Reservation) plans.Reservation {
	return plans.Reservation{ID: r.GetId(), Firm: r.GetFirm(), Units: r.GetUnits(), Rate: r.GetRate(), From: fromTimestamp(r.GetStart()),
		Until: fromTimestamp(r.GetEnd()), Note: r.GetNote(), Source: plans.Source(r.GetSource()), State: plans.State(r.GetState())}
}

func bookToProto(r core.Reply) *adminpb.Book {
	out := &adminpb.Book{Current: VersionToProto(r.Book.Current), Now: toTimestamp(r.Now), Requests: map[uint64]uint64{}}
	for _, v := range r.Book.Pending {
		out.Pending = append(out.Pending, VersionToProto(v))
	}
	for _, e := range r.Book.History {
		out.History = append(out.History, &adminpb.Ended{Version: VersionToProto(e.Version), Began: toTimestamp(e.Began), Until: toTimestamp(e.Until),
			Withdrawn: e.Withdrawn})
	}
	for _, x := range r.Book.Reservations {
		out.Reservations = append(out.Reservations, ReservationToProto(x, r.Uses[x.ID]))
	}
	for _, t := range r.Tally.Versions {
		out.Requests[t.Number] += t.Requests
	}
	return out
}

func effectsToProto(list []plans.Effect) (out []*adminpb.Effect) {
	for _, e := range list {
		out = append(out, &adminpb.Effect{Tier: e.Tier, Kind: e.Kind, From: tierToProto(e.From), To: tierToProto(e.To), Firms: int64(e.Firms)})
	}
	return out
}
