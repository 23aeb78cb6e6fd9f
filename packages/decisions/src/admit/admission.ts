/**
 * Whether a box takes a request at all, before a server is chosen for it.
 *
 * Who isn't ready or is closing says so at once: another box can serve. A 404
 * is given only with a configuration in force, since it is final for callers.
 */

import type { RefusalKind } from "../give-up/refusals.js";
import type { StopPhase } from "../give-up/stop-schedule.js";
import type { Route } from "../shared-state/configuration.js";
import type { RouteTable } from "./route-table.js";

/** What the box knows when a request comes. */
export interface AdmissionInputs {
    /** Routes of the configuration in force; undefined before the first. */
    readonly routes: RouteTable | undefined;
    /** The box has a copy of every kind of shared state. */
    readonly isComplete: boolean;
    readonly phase: StopPhase;
    readonly host: string;
    /** Path without the query. */
    readonly path: string;
}

/** The outcome. */
export type Admission =
    | { readonly kind: "admitted"; readonly route: Route; }
    | { readonly kind: "refused"; readonly refusal: RefusalKind & ("notReady" | "leaving" | "noRoute"); };

/** Decides whether a request is taken. */
export function admit(inputs: AdmissionInputs): Admission {
    const { host, isComplete, path, phase, routes } = inputs;
    if (routes === undefined || !isComplete) {
        return { kind: "refused", refusal: "notReady" };
    }
    if (phase === "closing") {
        return { kind: "refused", refusal: "leaving" };
    }
    const route = routes.match(host, path);
    return route === undefined ? { kind: "refused", refusal: "noRoute" } : { kind: "admitted", route };
}
