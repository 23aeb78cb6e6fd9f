/**
 * What chalkdale promises. Tests name the promises that they prove by tag, such as `[P3]`.
 */

/** The tag of a promise. P1 to P8 are the users' brief; the others follow from what boxes and callers agree on. */
export type PromiseTag = `P${number}`;

/** The promises by their tags. */
export const promiseTexts: Readonly<Record<PromiseTag, string>> = {
    P1: "a shift of traffic between places never exceeds its cap",
    P2: "no region is pushed past its capacity by a steering decision",
    P3: "every caller receives the whole answer to its own request",
    P4: "a request refused as not run did not run",
    P5: "what must not be repeated runs at most once",
    P6: "a backend server that is leaving gets no new work",
    P7: "no request is lost to a planned stop or to a server that fails requests",
    P8: "an accepted configuration is in force everywhere within seconds and never reverts",
    P9: "a server runs only what a caller sent, unchanged",
    P10: "a proper request is never denied as wrong",
    P11: "retries stay within their budget, and servers are told the time that is left",
    P12: "work ends when its caller has left",
    P13: "a request has its final answer by its route's limit",
    P14: "a cold server gets no more than its rate from all boxes together",
    P15: "a route with homes is served there only",
    P16: "a closed availability zone gets nothing",
    P17: "boxes serve again after all of them were lost",
    P18: "a request runs at the service of its route only",
    P19: "callers are told only boxes that run",
    P20: "a route's parts get their weights' shares",
    P21: "a request runs for the customer of its key, and the key reaches no server and no log",
    P22: "a customer's requests stay within its quota over all boxes together",
    P23: "a version that is not proven gets no more than its bound from all boxes together",
    P24: "a roll-out has one outcome, whoever decides and however often",
    P25: "a version that turns out bad gets nothing more within its bound, and a good one gets everything",
    P26: "a request that ends the servers that run it is kept from the others",
    P27: "a server that names a limit gets no more than that from all boxes together",
    P28: "a server that asks a box for back-off gets nothing from it until then",
};
