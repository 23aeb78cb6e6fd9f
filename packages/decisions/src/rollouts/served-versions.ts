/**
 * Determines which versions of a service may get which requests.
 *
 * | case | ordinary requests | trial requests |
 * | --- | --- | --- |
 * | no order, or the order is gone | the proven version; others once it has no servers | – |
 * | order undecided, target has listed servers | the proven version | the sampled servers of the target |
 * | order undecided, target has no listed server | the proven version | – |
 * | target is already the proven version | the target | – |
 * | completed, by store or announced decision | the target; others only if it has no servers | – |
 * | rolled back, by store or announced decision | all but the target, the proven version first | – |
 *
 * Owns an admission plan for each service, which is recomputed when its inputs change.
 * Relies on the server catalog, the orders, and the announced decisions.
 */

import type { BackendServerId, Milliseconds, ServerVersion, ServiceId } from "@chalkdale/kernel";
import type { BackendServer, ServerCatalog } from "../servers/server-catalog.js";
import { createProvenVersions, type ProvenVersions, type VersionName, versionOf } from "./proven-versions.js";
import type { RolloutDecision } from "./rollout-messages.js";
import type { RolloutId, RolloutOrder } from "./rollout-order.js";
import { groupOf, isReady, rankForSampling, selectSampledServers } from "./trial-sample.js";

/** Admission of requests to the versions of each service. */
export interface ServedVersions {
    /** True if the server may get an ordinary request, or a trial request if `isTrial` is true. */
    readonly admits: (server: BackendServer, isTrial: boolean) => boolean;
    /** A number that rises whenever the results of `admits` may have changed for the service's servers. */
    readonly version: (service: ServiceId) => number;
    /** The version that ordinary requests go to; undefined without servers, or for servers without a version. */
    readonly provenVersion: (service: ServiceId) => VersionName;
    /**
     * The trial version; undefined unless there is an undecided order whose target has listed servers and is not
     * proven.
     */
    readonly trialVersion: (service: ServiceId) => ServerVersion | undefined;
    /** True if there is an order whose target is already the proven version. */
    readonly isTargetProven: (service: ServiceId) => boolean;
    /**
     * Updates the plans of all services. Call it after each change of orders or decisions, and several times a
     * second: a service without requests would otherwise miss a completed order that is then replaced, or a
     * version that disappears.
     */
    readonly refresh: () => void;
    /** The cohort of a server that takes part in a trial on either side; undefined for other servers. */
    readonly cohortOf: (server: BackendServer) => TrialCohort | undefined;
}

/** The side and group that a server's answers are counted in. */
export interface TrialCohort {
    /** True for the target version, false for the control side. */
    readonly isTrial: boolean;
    /** From 0 to 7. */
    readonly group: number;
}

export interface ServedVersionsOptions {
    readonly catalog: Pick<ServerCatalog, "ofService" | "listVersion">;
    readonly now: () => Milliseconds;
    /** The order of a service in this box's copy of the shared state. */
    readonly orderOf: (service: ServiceId) => RolloutOrder | undefined;
    /** A decision that was announced to this box and that the store may not have yet. */
    readonly decisionOf: (rollout: RolloutId) => RolloutDecision["decision"] | undefined;
    /** Number of target servers to sample; 0 without a trial. */
    readonly sampledServerCount: (service: ServiceId) => number;
}

/**
 * Milliseconds after which a plan is recomputed while a version is on trial: servers become warm or cold without
 * a change of the catalog.
 */
const replanInterval = 500;
/**
 * Number of servers of the proven version that a trial is compared with, four in each group: enough to include
 * some servers with a fault that affects 16 % of them.
 */
const controlServerCount = 32;

/** The admission of one service for one state of its inputs. */
interface AdmissionPlan extends AdmissionInputs {
    readonly version: number;
    readonly proven: VersionName;
    /** Versions that ordinary requests may go to. */
    readonly admitted: ReadonlySet<VersionName>;
    readonly trialVersion: ServerVersion | undefined;
    /** Servers that trial requests may go to. */
    readonly sample: ReadonlySet<BackendServerId>;
    readonly cohorts: ReadonlyMap<BackendServerId, TrialCohort>;
    /** The plan may change with time alone. */
    readonly isTimeDependent: boolean;
}

/** Inputs of an admission plan. */
interface AdmissionInputs {
    readonly catalogVersion: number;
    readonly order: RolloutOrder | undefined;
    readonly decision: RolloutDecision["decision"] | undefined;
    readonly sampleSize: number;
    readonly at: Milliseconds;
}

/** Creates the admission without a known proven version. */
export function createServedVersions(options: ServedVersionsOptions): ServedVersions {
    const { catalog } = options;
    const plans = new Map<ServiceId, AdmissionPlan>();
    const provenVersions = new Map<ServiceId, ProvenVersions>();

    return {
        admits(server, isTrial) {
            const { service, version } = server.state.record();
            const plan = currentPlan(service);
            return isTrial ? plan.sample.has(server.id) : plan.admitted.has(version);
        },
        version: service => currentPlan(service).version,
        provenVersion: service => currentPlan(service).proven,
        trialVersion: service => currentPlan(service).trialVersion,
        isTargetProven(service) {
            const { order, proven } = currentPlan(service);
            return order !== undefined && order.targetVersion === proven;
        },
        refresh: () => [...plans.keys()].forEach(currentPlan),
        cohortOf: server => currentPlan(server.state.record().service).cohorts.get(server.id),
    };

    function currentPlan(service: ServiceId): AdmissionPlan {
        const known = plans.get(service);
        const order = options.orderOf(service);
        const inputs: AdmissionInputs = {
            catalogVersion: catalog.listVersion(),
            order,
            decision: order === undefined ? undefined : decisionOn(order),
            sampleSize: options.sampledServerCount(service),
            at: options.now(),
        };
        if (known !== undefined && isUpToDate(known, inputs)) {
            return known;
        }
        const plan = createPlan(service, inputs, known);
        plans.set(service, plan);
        return plan;
    }

    /** The store's state takes precedence over an announced decision. */
    function decisionOn(order: RolloutOrder): RolloutDecision["decision"] | undefined {
        return order.state === "completed" || order.state === "rolledBack" ? order.state : options.decisionOf(order);
    }

    function createPlan(service: ServiceId, inputs: AdmissionInputs, known: AdmissionPlan | undefined): AdmissionPlan {
        const { at, decision, order } = inputs;
        const servers = catalog.ofService(service);
        const versions = provenVersions.get(service) ?? createProvenVersions();
        provenVersions.set(service, versions);
        versions.update(servers, order, decision, at);
        const proven = versions.proven();
        const openTarget = decision === undefined ? order?.targetVersion : undefined;
        const isOnTrial = openTarget !== undefined && openTarget !== proven && !versions.isInGracePeriod(at)
            && servers.some(server => hasVersion(server, openTarget) && server.state.isListed());
        const trialVersion = isOnTrial ? openTarget : undefined;
        const admitted = versions.isInGracePeriod(at)
            ? new Set([proven])
            : admittedVersions(servers, proven, openTarget, versions.isRejected);
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
            cohorts: sampling?.cohorts ?? new Map(),
            isTimeDependent: isOnTrial || versions.isInGracePeriod(at),
        };
    }
}

function isUpToDate(known: AdmissionPlan, inputs: AdmissionInputs): boolean {
    return known.catalogVersion === inputs.catalogVersion && known.order === inputs.order
        && known.decision === inputs.decision
        && known.sampleSize === inputs.sampleSize
        && !(known.isTimeDependent && inputs.at - known.at >= replanInterval);
}

/**
 * Returns the proven version if it has ready servers; otherwise all versions that are neither rejected nor on
 * trial; otherwise the trial version, so that a service without other servers is still served.
 */
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
    { at, sampleSize }: AdmissionInputs,
): Pick<AdmissionPlan, "sample" | "cohorts"> {
    const target = rankForSampling(servers.filter(server => hasVersion(server, order.targetVersion)), order);
    const control = rankForSampling(servers.filter(server => hasVersion(server, proven)), order);
    const cohorts = new Map<BackendServerId, TrialCohort>();
    target.forEach(({ id }, rank) => cohorts.set(id, { isTrial: true, group: groupOf(rank) }));
    const controls = new Set(selectSampledServers(control, controlServerCount, at));
    control.forEach((server, rank) => {
        if (controls.has(server)) {
            cohorts.set(server.id, { isTrial: false, group: groupOf(rank) });
        }
    });
    return { sample: new Set(selectSampledServers(target, sampleSize, at).map(({ id }) => id)), cohorts };
}

function hasVersion(server: BackendServer, version: VersionName): boolean {
    return versionOf(server) === version;
}

function isSameSet<Value>(a: ReadonlySet<Value>, b: ReadonlySet<Value>): boolean {
    return a.size === b.size && [...a].every(value => b.has(value));
}
