/**
 * Formats tables for terminals.
 */

/** Returns a header and rows as lines of text, each column padded to its widest cell. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const widths = header.map((title, column) => Math.max(title.length, ...rows.map(row => row[column].length)));
    return [header, ...rows]
        .map(row => row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd())
        .join("\n");
}
