// Package slots schedules the requests of one sidecar onto the slots of its
// backend server. It is a pure state machine: each call takes the time, and
// Actions returns what the sidecar has to do. It is not safe for concurrent use.
//
// # Terms
//
// A request is waiting, offered, running or stopping (preempted, but not ended
// yet). Offered, running and stopping requests occupy a slot; the occupied slots
// never exceed Config.Slots. An offer lapses if the entry does not accept it
// within Config.OfferTimeoutMs.
//
// Requests are charged in tokens: their output tokens, plus one token per 8 prompt
// tokens. The estimated cost of a request is its expected charge.
//
// A floor is the guaranteed minimum of a class: the percentage of the tokens charged
// at this server that the class receives while it has waiting requests. If a slot is
// offered to a request in order to meet the floor of its class, and not because of
// its tier, share or deadline, the request is on a floor turn.
//
// # Order of service, by precedence
//
//  1. Floors. While a class has waiting requests, it earns a credit of
//     FloorPercent/100 of the tokens charged at this server; if the floors of all
//     waiting classes sum to more than 100, they are scaled down to 100. The
//     charges for the class's own requests reduce the credit: a floor turn by its
//     estimate when the slot is offered, corrected once the real output is known,
//     which may make the credit negative; any other request by the tokens that it
//     generates, but not below 0. A class is due once its credit covers the
//     estimated cost of its next request or reaches the maximum credit, 2 times
//     Config.InitialOutputTokens. The next free slot goes to the due class whose last
//     offer is the longest ago, whatever its tier. Floor turns are not preempted.
//     Tokens are charged as progress is reported, the prompt with the first
//     report. The prompt of a resumed request is not charged again, and a request
//     that ends without a token is charged one token. An offer that lapses is
//     charged its estimate, a declined offer nothing.
//     This bounds the wait for a floor: after a class started a request, at most
//     (L+E)*100/F tokens are charged until it is due again, where F is the scaled
//     floor, L the charge for its last request and E the estimate of its next
//     request or the maximum credit, whichever is smaller; then each other class
//     gets at most one offer before it. A request that costs more than the
//     maximum credit starts like any other, and the class earns the difference
//     before its next floor turn.
//  2. Tiers. The highest tier (smallest number) with waiting requests is served,
//     whatever the shares and deadlines in lower tiers. Within a tier, and within
//     a class on a floor turn, resumed requests go first, by earliest deadline;
//     they are charged like other requests.
//  3. Shares. Within a tier the client account with the smallest token counter is
//     served. A counter grows by tokens divided by the account's share: by the
//     estimate when the slot is offered, by the excess while a request runs past
//     its estimate, and by the difference to the real cost at the end. When an
//     idle account starts to wait, its counter is raised to at least
//     Config.MaxIdleCreditTokens, divided by its share, below the smallest counter waiting
//     in the tier, or below the counter served last if none waits. So an idle
//     account saves up a bounded credit; a new account has none.
//  4. Deadlines. Within an account, and between equal counters, the earliest
//     deadline is served, then the earliest arrival. Requests without a deadline
//     follow those with one.
//
// # Preemption
//
// While more requests of a tier and the tiers above it wait than requests are
// stopping, a preemptible running request of a strictly lower tier is stopped:
// of the lowest tier that has one, the one with the fewest tokens. Waiting
// requests marked NonPreempting are not counted. The freed slot is an ordinary
// free slot and may go to a floor turn.
//
// # Shedding
//
// A request of tier t is refused if its estimated start is after its deadline.
// A whole-answer deadline is first moved earlier by the expected generation time,
// at most by half of the time between arrival and deadline.
//
// The estimate counts the waiting work that rules 2 to 4 serve first, scaled by
// the fraction of such requests that start here instead of being cancelled, and
// the slots occupied by tier t and above. Lower tiers and the floor turns of
// other classes are left out, as if their slots were free. The share of the slots
// that the tiers above occupy, averaged with a time constant of 5 s, is assumed
// to stay unavailable, but at least a tenth of the slots is assumed available.
// The floor of the request's own class can only shorten the estimate.
//
// The deadline of a waiting request is extended by the time lost to lower tiers
// and floor turns, which is the share of the slots that they occupy, integrated
// over time. So the presence of lower tiers never causes a refusal; higher tiers
// pay for floors by waiting longer. A request is refused as soon as its extended
// deadline passes.
//
// With OrderFIFO there is one tier and one account, ordered by arrival, without
// floors and preemption.
package slots
