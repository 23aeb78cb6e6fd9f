/**
 * The operators' settings tree: its nodes and values, its files, validation and edits.
 *
 * Owns the schema of the tree; relies on `yaml` for files and `zod` for schemas. No I/O.
 */

export * from "./address-block.js";
export * from "./checks.js";
export * from "./edits.js";
export { formatFault } from "./faults.js";
export * from "./tree-file.js";
export * from "./tree.js";
