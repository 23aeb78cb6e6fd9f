/**
 * Whether a box takes a request at all, before a server is chosen for it, and
 * whose request it is.
 *
 * Who isn't ready or is closing says so at once: another box can serve. A 404
 * is given only with a configuration in force, since it is final for callers.
 * So is a 401, and keys change more often than routes: it is given only by a copy
 * that is fresh enough (`customers/copy-age`); else the caller may come back.
 */

import type { CustomerKey, Milliseconds } from "@chalkdale/kernel";
import { type CopyAgeBounds, mayAdmitKnownKey, mayRejectUnknownKey } from "../customers/copy-age.js";
import type { CustomerTable } from "../customers/customer-table.js";
import type { RefusalKind } from "../refusals/refusals.js";
import type { Customer, Route } from "../shared-state/configuration.js";
import type { RouteTable } from "./route-table.js";
import type { ShutdownPhase } from "./shutdown-schedule.js";

/** What the box knows when a request comes. */
export interface AdmissionInputs {
    /** Routes of the configuration in force; undefined before the first. */
    readonly routes: RouteTable | undefined;
    /** Keys of the same configuration. */
    readonly keys: CustomerTable | undefined;
    /** The box has a copy of every kind of shared state. */
    readonly isStateComplete: boolean;
    readonly phase: ShutdownPhase;
    readonly host: string;
    /** Path without the query. */
    readonly path: string;
    /** The key that the caller sent, if it sent one. */
    readonly key: CustomerKey | undefined;
    /** Time since the store confirmed the copy of the configuration. */
    readonly configurationAge: Milliseconds;
    readonly bounds: CopyAgeBounds;
}

/** An admitted request: its route, and its customer unless it needs none. */
export interface AdmittedRequest {
    readonly kind: "admitted";
    readonly route: Route;
    readonly customer: Customer | undefined;
}

/** The outcome. */
export type Admission =
    | AdmittedRequest
    | {
        readonly kind: "refused";
        readonly refusal: RefusalKind & ("notReady" | "leaving" | "noRoute" | "unknownKey" | "copyTooOld");
    };

/** Decides whether a request is taken. */
export function admit(inputs: AdmissionInputs): Admission {
    const { bounds, configurationAge, isStateComplete: isComplete, keys, phase, routes } = inputs;
    if (routes === undefined || keys === undefined || !isComplete) {
        return { kind: "refused", refusal: "notReady" };
    }
    if (phase === "closing") {
        return { kind: "refused", refusal: "leaving" };
    }
    const route = routes.match(inputs.host, inputs.path);
    if (route === undefined) {
        return { kind: "refused", refusal: "noRoute" };
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
