/**
 * `explain ID [FILE...]`: what became of a request, from the logs of one box or of all.
 *
 * Owns nothing; reads the files, or standard input, line by line, so that their
 * size does not matter.
 */

import { type ExitCode, exitCodes } from "@chalkdale/runtime";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { type Command, CommandError } from "./command.js";
import { type LogLine, readLogLine } from "./log-lines.js";
import { traceRequest } from "./request-trace.js";

/** The command. */
export const explain: Command = {
    words: ["explain"],
    usage: "explain ID [LOG...]",
    summary: "what became of a request, from log files or standard input",
    async run([request, ...files], context): Promise<ExitCode> {
        if (request === undefined) {
            throw new CommandError("expected the id of a request; see chalkdale --help", exitCodes.usage);
        }
        const story = traceRequest(request, await findLines(request, files));
        if (story === undefined) {
            throw new CommandError(
                `no line of request ${request}: logs leave out what is beyond their budget`,
                exitCodes.failure,
            );
        }
        if (context.flags.json) {
            context.write(JSON.stringify(story));
            return exitCodes.success;
        }
        const { route = "none", steps, verdict } = story;
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
