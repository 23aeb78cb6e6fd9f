/**
 * Reading and checking settings: the tree, the box's own file, and edits.
 */

export * from "./box-file.js";
export * from "./checks.js";
export * from "./edits.js";
export { faultAt, formatFault, type SettingsFault } from "./faults.js";
export * from "./read-file.js";
export { keysOfKind, valueSchemas } from "./schema.js";
export * from "./tree-file.js";
