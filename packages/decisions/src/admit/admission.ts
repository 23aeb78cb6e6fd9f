/**
 * Decides whether a box admits a request, before a server is chosen for it, and identifies its customer.
 *
 * A box that isn't ready, or that shuts down before it could answer (see `leaving-requests`), refuses at once, since
 * another box can serve the request. Callers take a 404 as final, so it is sent only with a configuration in force. So is
 * a 401, and keys change more often than routes: it is sent only if the copy of the configuration is fresh enough (see
 * `customers/copy-age`); otherwise the caller may retry.
 *
 * Owns no state.
 */

import type { CustomerKey, Milliseconds } from "@chalkdale/kernel";
import { type CopyAgeBounds, mayAdmitKnownKey, mayRejectUnknownKey } from "../customers/copy-age.js";
import type { CustomerTable } from "../customers/customer-table.js";
import { requestTimeout } from "../limits/timeouts.js";
import type { RefusalKind } from "../refusals/refusals.js";
import type { Customer, Route } from "../shared-state/configuration.js";
import { mayBeSentWhileLeaving } from "./leaving-requests.js";
import type { RouteTable } from "./route-table.js";
import type { ShutdownPhase } from "./shutdown-schedule.js";

/** What the box knows when a request arrives. */
export interface AdmissionInputs {
    /** Routes of the configuration in force; undefined before the first configuration. */
    readonly routes: RouteTable | undefined;
    /** Keys of the same configuration. */
    readonly keys: CustomerTable | undefined;
    /** True if the box has a copy of every kind of shared state that it replicates. */
    readonly isStateComplete: boolean;
    readonly phase: ShutdownPhase;
    /** Time in which the box can still answer; infinite while it runs. */
    readonly timeToAnswer: Milliseconds;
    /** Milliseconds for which the caller waits; not a positive number if it does not say. */
    readonly callerTimeout: number;
    /** Upper bound of the expected time of a server's work on a request of a route; 0 if nothing is known of it. */
    readonly expectedWork: (route: Route) => Milliseconds;
    readonly host: string;
    /** Path without the query. */
    readonly path: string;
    /** The key that the caller sent, if any. */
    readonly key: CustomerKey | undefined;
    /** Time since the store confirmed the copy of the configuration. */
    readonly configurationAge: Milliseconds;
    readonly bounds: CopyAgeBounds;
}

/** An admitted request: its route, and its customer unless the request needs no key. */
export interface AdmittedRequest {
    readonly kind: "admitted";
    readonly route: Route;
    readonly customer: Customer | undefined;
}

/** The decision on a request. */
export type Admission =
    | AdmittedRequest
    | {
        readonly kind: "refused";
        readonly refusal: RefusalKind & ("notReady" | "leaving" | "noRoute" | "unknownKey" | "copyTooOld");
    };

/** Decides whether a request is admitted. */
export function admit(inputs: AdmissionInputs): Admission {
    const { bounds, configurationAge, isStateComplete, keys, phase, routes } = inputs;
    if (routes === undefined || keys === undefined || !isStateComplete) {
        return { kind: "refused", refusal: "notReady" };
    }
    const route = routes.match(inputs.host, inputs.path);
    if (route === undefined) {
        // A box that is about to exit leaves what callers take as final to others.
        return { kind: "refused", refusal: phase === "closing" || phase === "drained" ? "leaving" : "noRoute" };
    }
    if (phase !== "running" && !canAnswer(route, inputs)) {
        return { kind: "refused", refusal: "leaving" };
    }
    if (!keys.isKeyRequired || route.isPublic) {
        return { kind: "admitted", route, customer: undefined };
    }
    const customer = inputs.key === undefined ? undefined : keys.findByKey(inputs.key);
    if (customer === undefined) {
        return {
            kind: "refused",
            refusal: mayRejectUnknownKey(configurationAge, bounds) ? "unknownKey" : "copyTooOld",
        };
    }
    return mayAdmitKnownKey(configurationAge, bounds)
        ? { kind: "admitted", route, customer }
        : { kind: "refused", refusal: "copyTooOld" };
}

function canAnswer(route: Route, { callerTimeout, expectedWork, phase, timeToAnswer }: AdmissionInputs): boolean {
    return mayBeSentWhileLeaving({
        phase,
        timeToAnswer,
        timeLimit: requestTimeout(callerTimeout, route.timeout),
        expectedWork: expectedWork(route),
        mayHaveRun: false,
    });
}
