/**
 * The agent of a box, as other packages and tests use it.
 */

export { type Agent, type AgentOptions, type AgentStatus, createAgent } from "./agent.js";
export { createCapacityHolder } from "./capacity-holder.js";
export { createHttpProbe } from "./http-probe.js";
export { type ProbeServer, serversToProbe } from "./prober.js";
export { createRecordHub } from "./record-hub.js";
export type { ReachableBox } from "./topology.js";
