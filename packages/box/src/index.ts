/**
 * Public API of the box, the one process between callers and backend servers.
 */

export * from "./box.js";
export * from "./callers/caller-protocol.js";
export { createLoopShare, type LoopShare } from "./loop-share.js";
export { isMemberRecord } from "./peers/member-record-validation.js";
export { type AnswerBodyBuilder, createAnswerBody } from "./servers/answer-body.js";
export * from "./settings.js";
export * from "./state/state-store.js";
export * from "./traffic-meter.js";
export { onClosedUnanswered } from "./unanswered-request.js";
