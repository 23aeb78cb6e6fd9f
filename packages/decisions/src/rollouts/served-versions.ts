/**
 * Which version of a service may get which requests.
 *
 * | case | ordinary requests | trial |
 * | --- | --- | --- |
 * | no order ever, or an order that is gone | the proven version; others once none of it is left | – |
 * | order undecided, target known | the proven version | the sample of the target |
 * | target unknown | the proven version | – |
 * | target proven already | the target | – |
 * | completed, by store or news | the target; others only if none of it is left | – |
 * | rolled back, by store or news | all but the target, the proven version first | – |
 *
 * Owns a plan for each service, worked out anew when something changes; relies on the
 * list of servers, the orders, and what was told of decisions.
 */

import type { BackendServerId, Milliseconds, ServerVersion, ServiceId } from "@chalkdale/kernel";
import type { BackendServer, ServerCatalog } from "../servers/server-catalog.js";
import { createProvenVersions, type ProvenVersions, type VersionName, versionOf } from "./proven-versions.js";
import type { RolloutDecision } from "./rollout-messages.js";
import type { RolloutId, RolloutOrder } from "./rollout-order.js";
import { groupOf, isReady, rankForSampling, selectSampledServers } from "./trial-sample.js";

/** What the versions of a service may get. */
export interface ServedVersions {
    /** False for a server whose version may not have such a request. */
    readonly admits: (server: BackendServer, isTrial: boolean) => boolean;
    /** Rises whenever `admits` may answer otherwise for the service's servers. */
    readonly version: (service: ServiceId) => number;
    /** The version that ordinary requests go to; undefined without servers, or for servers that tell none. */
    readonly provenVersion: (service: ServiceId) => VersionName;
    /** The version on trial; undefined without an undecided order whose target is known and not proven. */
    readonly trialVersion: (service: ServiceId) => ServerVersion | undefined;
    /** True for an order whose target is the proven version already. */
    readonly isTargetProven: (service: ServiceId) => boolean;
    /**
     * Takes note of what has changed. Due with each change of orders and decisions, and some times a second: what is seen only with the next
     * request, a completed order that another one has replaced by then, or a version that went long ago, would be missed.
     */
    readonly refresh: () => void;
    /** Where a server is counted that takes part in a trial, as one of the target or one to compare with. */
    readonly cohortOf: (server: BackendServer) => TrialCohort | undefined;
}

/** Where a server is counted in a trial. */
export interface TrialCohort {
    readonly isTrial: boolean;
    /** From 0 to 7. */
    readonly group: number;
}

export interface ServedVersionsOptions {
    readonly catalog: Pick<ServerCatalog, "ofService" | "listVersion">;
    readonly now: () => Milliseconds;
    /** The order of a service as the copy has it. */
    readonly orderOf: (service: ServiceId) => RolloutOrder | undefined;
    /** A decision that was told before the store has it. */
    readonly decisionOf: (rollout: RolloutId) => RolloutDecision["decision"] | undefined;
    /** Servers of the target among which the trial is concentrated; 0 without a trial. */
    readonly sampledServerCount: (service: ServiceId) => number;
}

/**
 * Milliseconds after which a plan is worked out anew while a version is on trial: servers turn warm or cold without a word from
 * the list.
 */
const replanInterval = 500;
/**
 * Servers of the proven version that a trial is compared with, four a group: so many that a fault which strikes 16 in 100
 * servers is seen among them.
 */
const controlCount = 32;

/** What holds for one service, as of one state of all that it follows from. */
interface Plan extends PlanInputs {
    readonly version: number;
    readonly proven: VersionName;
    /** Versions that ordinary requests may go to. */
    readonly admitted: ReadonlySet<VersionName>;
    readonly trialVersion: ServerVersion | undefined;
    /** Servers that trial requests may go to. */
    readonly sample: ReadonlySet<BackendServerId>;
    readonly places: ReadonlyMap<BackendServerId, TrialCohort>;
    /** It may change by time alone. */
    readonly isTimed: boolean;
}

/** What a plan follows from. */
interface PlanInputs {
    readonly listing: number;
    readonly order: RolloutOrder | undefined;
    readonly decision: RolloutDecision["decision"] | undefined;
    readonly sampledCount: number;
    readonly at: Milliseconds;
}

/** Creates the rule; nothing is proven yet. */
export function createServedVersions(options: ServedVersionsOptions): ServedVersions {
    const { catalog } = options;
    const plans = new Map<ServiceId, Plan>();
    const memories = new Map<ServiceId, ProvenVersions>();

    return {
        admits(server, isTrial) {
            const { service, version } = server.state.record();
            const plan = current(service);
            return isTrial ? plan.sample.has(server.id) : plan.admitted.has(version);
        },
        version: service => current(service).version,
        provenVersion: service => current(service).proven,
        trialVersion: service => current(service).trialVersion,
        isTargetProven(service) {
            const { order, proven } = current(service);
            return order !== undefined && order.targetVersion === proven;
        },
        refresh: () => [...plans.keys()].forEach(current),
        cohortOf: server => current(server.state.record().service).places.get(server.id),
    };

    function current(service: ServiceId): Plan {
        const known = plans.get(service);
        const order = options.orderOf(service);
        const inputs: PlanInputs = {
            listing: catalog.listVersion(),
            order,
            decision: order === undefined ? undefined : decisionOn(order),
            sampledCount: options.sampledServerCount(service),
            at: options.now(),
        };
        if (known !== undefined && holds(known, inputs)) {
            return known;
        }
        const plan = createPlan(service, inputs, known);
        plans.set(service, plan);
        return plan;
    }

    /** The store wins over what was told. */
    function decisionOn(order: RolloutOrder): RolloutDecision["decision"] | undefined {
        return order.state === "completed" || order.state === "rolledBack" ? order.state : options.decisionOf(order);
    }

    function createPlan(service: ServiceId, inputs: PlanInputs, known: Plan | undefined): Plan {
        const { at, decision, order } = inputs;
        const servers = catalog.ofService(service);
        const memory = memories.get(service) ?? createProvenVersions();
        memories.set(service, memory);
        memory.update(servers, order, decision, at);
        const proven = memory.proven();
        const openTarget = decision === undefined ? order?.targetVersion : undefined;
        const isOnTrial = openTarget !== undefined && openTarget !== proven && !memory.isInGracePeriod(at)
            && servers.some(server => isOf(server, openTarget) && server.state.isListed());
        const trialVersion = isOnTrial ? openTarget : undefined;
        const admitted = memory.isInGracePeriod(at)
            ? new Set([proven])
            : admittedVersions(servers, proven, openTarget, memory.isRejected);
        const sampling = trialVersion === undefined || order === undefined
            ? undefined
            : sampleServers(servers, order, proven, inputs);
        const sample = sampling?.sample ?? new Set();
        const isSame = known !== undefined && isSameSet(known.admitted, admitted) && isSameSet(known.sample, sample);
        return {
            ...inputs,
            version: isSame ? known.version : (known?.version ?? 0) + 1,
            proven,
            admitted,
            trialVersion,
            sample,
            places: sampling?.places ?? new Map(),
            isTimed: isOnTrial || memory.isInGracePeriod(at),
        };
    }
}

function holds(known: Plan, inputs: PlanInputs): boolean {
    return known.listing === inputs.listing && known.order === inputs.order && known.decision === inputs.decision
        && known.sampledCount === inputs.sampledCount
        && !(known.isTimed && inputs.at - known.at >= replanInterval);
}

/** The proven version; else any that is neither rejected nor on trial; else the one on trial, so that a service without others is served. */
function admittedVersions(
    servers: readonly BackendServer[],
    proven: VersionName,
    openTarget: VersionName,
    isRejected: (version: VersionName) => boolean,
): ReadonlySet<VersionName> {
    const ready = new Set(servers.filter(isReady).map(versionOf));
    if (ready.has(proven)) {
        return new Set([proven]);
    }
    const usable = [...ready].filter(version => !isRejected(version));
    const others = usable.filter(version => openTarget === undefined || version !== openTarget);
    return new Set(others.length > 0 ? others : usable);
}

function sampleServers(
    servers: readonly BackendServer[],
    order: RolloutOrder,
    proven: VersionName,
    { at, sampledCount }: PlanInputs,
): Pick<Plan, "sample" | "places"> {
    const target = rankForSampling(servers.filter(server => isOf(server, order.targetVersion)), order);
    const control = rankForSampling(servers.filter(server => isOf(server, proven)), order);
    const places = new Map<BackendServerId, TrialCohort>();
    target.forEach(({ id }, place) => places.set(id, { isTrial: true, group: groupOf(place) }));
    const controls = new Set(selectSampledServers(control, controlCount, at));
    control.forEach((server, place) => {
        if (controls.has(server)) {
            places.set(server.id, { isTrial: false, group: groupOf(place) });
        }
    });
    return { sample: new Set(selectSampledServers(target, sampledCount, at).map(({ id }) => id)), places };
}

function isOf(server: BackendServer, version: VersionName): boolean {
    return versionOf(server) === version;
}

function isSameSet<Value>(a: ReadonlySet<Value>, b: ReadonlySet<Value>): boolean {
    return a.size === b.size && [...a].every(value => b.has(value));
}
