// Package slots schedules the requests of one sidecar onto the slots of its
// backend server. It is a pure state machine: each call takes the time, and
// Actions returns what the sidecar has to do. It is not safe for concurrent use.
//
// # Which rule wins
//
// A request is waiting, offered, running or stopping. Offered, running and
// stopping requests occupy a slot; the occupied slots never exceed Config.Slots.
//
//  1. Floors choose first. While a class has waiting work, it earns
//     FloorPercent/100 of the tokens that are charged here; if the floors of the
//     classes that wait exceed 100 together, they are scaled down to 100. It
//     spends the credit by what its own work is charged: work on floor turns by
//     the estimate when the slot is offered, corrected by the real output, also
//     below 0; other work by the tokens that it generates, down to 0. A class is
//     due once its credit covers the estimate of its next request or reaches
//     the most that it may save, 2 times Config.OutputTokens. The next free slot
//     goes to the due class whose last offer is the longest ago, whatever its
//     tier. Work on a floor turn is never preempted.
//     Tokens are charged as they are reported, a prompt with the first of them;
//     the prompt of a resumed request counts no second time, and a request that
//     ends without a token counts as one token. An offer that lapses spends its
//     estimate, one that is declined nothing.
//     So a floor is met within N charged tokens: between two starts of a class
//     that waits, at most (L+E)*100/F tokens are charged until it is due, where
//     F is the scaled floor, L is what its last work was charged and E the
//     smaller of the estimate of its next request and the most that it may save;
//     then it is served after at most one offer to each other class. A request
//     longer than the credit saved is started like any other, and the class
//     earns the excess before its next floor turn.
//  2. Otherwise the highest tier (the smallest number) with waiting work is
//     served, whatever the shares and deadlines in lower tiers. Within a tier,
//     and within a class on a floor turn, resumed requests come first, the
//     earliest deadline before the others; they are charged like all others.
//  3. Within a tier the client account with the smallest token counter is
//     served. A counter grows by tokens divided by the account's share: by the
//     estimate when the slot is offered, by the excess while the request runs
//     past it, and by the difference once the output length is known. An
//     account that begins to wait is lifted to Config.IdleTokens, divided by its
//     share, below the smallest counter that waits in its tier, or below the
//     last one served if none waits. So idling saves up a bounded credit and no
//     more; a new account has none.
//  4. Within an account, and between equal counters, the earliest deadline is
//     served, then the earliest arrival. No deadline is later than any deadline.
//
// Preemption: while more requests of a tier and the tiers above it wait than
// requests are stopping (waiting requests that are marked non-preempting are
// not counted), the preemptible running request of the lowest tier
// is stopped, among those the one with the fewest tokens; only if its tier is
// strictly lower than the waiting one. A slot that a preemption freed is an
// ordinary free slot and may go to a floor turn.
//
// Shedding: a request of tier t is refused if its estimated start exceeds its
// deadline; a deadline for the whole answer is brought forward by the expected
// time of generation, at most by half of the time from the arrival. The estimate counts the waiting work that rules 2 to 4 place before
// it, as far as such work is expected to start here and not to be cancelled, and
// the occupied slots of tier t and above, and takes all slots as available: lower tiers and the floor turns of other classes do not enter it.
// The share of the slots that the tiers above held lately, a mean weighted over
// 5 s, is taken as lost to them also later; at least a tenth is left.
// The floor of the request's own class may only shorten it. A waiting request's
// deadline is extended by the time that it lost to lower tiers and floor turns:
// the share of slots that they occupy, integrated over time. So no lower tier's
// presence causes a refusal; a higher tier pays for floors by waiting.
// A request whose extended deadline passed is refused at once.
//
// With OrderFIFO there is one tier and one account, ordered by arrival, without
// floors and preemption.
package slots
