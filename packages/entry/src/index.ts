/**
 * The entry program's parts, as other packages and tests use them.
 */

export { type ErrorBody, errorBody } from "./answers.js";
export { type CallersServerOptions, serveCallers } from "./callers-server.js";
export { ownHeaders } from "./headers.js";
export { createMetrics, type Metrics } from "./metrics.js";
export { drainBox } from "./planned-stop.js";
export { createServerConnections } from "./server-connections.js";
export { createStateClient, type StateClient, type StateClientOptions } from "./state-client.js";
