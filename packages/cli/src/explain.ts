/**
 * `explain ID [LOG...]`: traces a request through the logs of one or more boxes.
 *
 * Owns no state. Reads the files, or standard input, line by line and keeps only
 * the lines that contain the request's id, so logs may be of any size.
 */

import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { type Command, CommandError } from "./command.js";
import { type LogLine, readLogLine } from "./log-lines.js";
import { traceRequest } from "./request-trace.js";

/** The command `explain`. */
export const explain: Command = {
    words: ["explain"],
    usage: "explain ID [LOG...]",
    summary: "what became of a request, from log files or standard input",
    async run([request, ...files], context): Promise<ExitCode> {
        if (request === undefined) {
            throw new CommandError("expected the id of a request; see chalkdale --help", exitCodes.usage);
        }
        const trace = traceRequest(request, await findLines(request, files));
        if (trace === undefined) {
            throw new CommandError(
                `no line of request ${request} found; logs drop lines beyond their rate limit`,
                exitCodes.failure,
            );
        }
        if (context.flags.json) {
            context.write(JSON.stringify(trace));
            return exitCodes.success;
        }
        const { route = "none", steps, verdict } = trace;
        context.write(
            [`request ${request}, route ${route}`, ...steps.map(step => `  ${step}`), `It ${verdict}.`].join("\n"),
        );
        return exitCodes.success;
    },
};

async function findLines(request: string, files: readonly string[]): Promise<readonly LogLine[]> {
    const inputs = files.length === 0 ? [process.stdin] : files.map(file => createReadStream(file));
    const found: LogLine[] = [];
    for (const input of inputs) {
        for await (const line of createInterface({ input, crlfDelay: Infinity })) {
            if (line.includes(request)) {
                found.push(readLogLine(line));
            }
        }
    }
    return found;
}
