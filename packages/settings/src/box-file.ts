/**
 * The settings of one box: where its programs listen and what they reach.
 * Both programs of a box read the same file.
 */

import { Err, Ok, type Result } from "@chalkdale/core";
import { type Address, parseEndpoint } from "@chalkdale/runtime";
import { z } from "zod";
import { faultsOfIssues, type SettingsFault, syntaxFaultsOf } from "./faults.js";
import { namePattern } from "./schema.js";
import { parseYaml } from "./yaml-source.js";

const name = z.string().regex(namePattern, "a name of lower-case letters, digits and hyphens");

const endpoint = z.string().transform((text, context): Address => {
    const parsed = parseEndpoint(text);
    if (parsed === undefined) {
        context.addIssue({ code: "custom", message: "an IP number and a port, such as 127.0.0.1:8101" });
        return z.NEVER;
    }
    return parsed;
});

const boxFileSchema = z.strictObject({
    box: name,
    deployment: name,
    region: name,
    zone: name,
    /** Callers' interface of the entry program. */
    callers: endpoint,
    /** Protocol between boxes, of the agent program. */
    peers: endpoint,
    /** Operators' interface of each program. */
    operators: z.strictObject({ entry: endpoint, agent: endpoint }),
    /** The platform's object API. */
    platform: endpoint,
    /** Agents of other boxes that are asked first when the platform is down. */
    seeds: z.array(endpoint).default([]),
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
});

/** The settings of one box, checked. */
export type BoxSettings = z.infer<typeof boxFileSchema>;

/** Reads the settings of a box. On the `Err` side are all faults. */
export function readBoxFile(file: string, text: string): Result<BoxSettings, readonly SettingsFault[]> {
    const source = parseYaml(file, text);
    if (source.syntaxFaults.length > 0) {
        return Err(syntaxFaultsOf(source));
    }
    const parsed = boxFileSchema.safeParse(source.value ?? {});
    return parsed.success ? Ok(parsed.data) : Err(faultsOfIssues(source, parsed.error.issues));
}
