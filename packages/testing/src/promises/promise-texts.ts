/**
 * The promises that chalkdale keeps. A test that proves a promise has its tag in the title, such as `[P3]`.
 */

/** The tag of a promise. P1 to P8 are users' requirements; the others follow from the protocol of boxes and callers. */
export type PromiseTag = `P${number}`;

/** The promises by their tags. */
export const promiseTexts: Readonly<Record<PromiseTag, string>> = {
    P1: "a shift of traffic between localities never exceeds its cap",
    P2: "no region is pushed past its capacity by a steering decision",
    P3: "every caller receives the complete answer to its own request",
    P4: "a request refused as not run did not run",
    P5: "a request that must not be repeated runs at most once",
    P6: "a backend server that is leaving receives no new requests",
    P7: "no request is lost to a planned stop or to a server that fails requests",
    P8: "an accepted configuration is in force everywhere within seconds and never reverts",
    P9: "a server runs only what a caller sent, unchanged",
    P10: "a valid request is never rejected as invalid",
    P11: "retries stay within their budget, and servers receive the remaining time",
    P12: "the work on a request ends when its caller has left",
    P13: "a request has its final answer by its route's time limit",
    P14: "a cold server receives no more than its rate from all boxes together",
    P15: "a route with home regions is served there only",
    P16: "a closed availability zone receives no requests",
    P17: "boxes serve again after all of them were lost",
    P18: "a request runs at the service of its route only",
    P19: "look-ups return only boxes that run",
    P20: "the destinations of a split receive shares by their weights",
    P21: "a request runs for the customer of its key, and the key reaches no server and no log",
    P22: "a customer's requests stay within its quota over all boxes together",
    P23: "an unproven version receives no more than its bound from all boxes together",
    P24: "a roll-out has one outcome, whichever boxes decide it and however often",
    P25: "a bad version receives no more requests within its time bound, and a good one receives all",
    P26: "a request that crashes the servers that run it is kept from other servers",
    P27: "a server that reports a rate limit receives no more than that from all boxes together",
    P28: "a server that asks a box for back-off receives no requests from it until the back-off ends",
    P29: "a box whose links to servers are cut serves as long as another box reaches them, and else refuses at once",
};
