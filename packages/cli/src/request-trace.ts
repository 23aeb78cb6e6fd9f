/**
 * Tells from the log lines of one request how it fared: which servers had it,
 * why one of them was chosen, how it ended, and whether it ran.
 *
 * Pure: lines in, text out.
 */

import { type RefusalKind, refusals } from "@chalkdale/decisions";
import type { LogLine } from "./log-lines.js";

/** Whether a server ran a request, as far as the lines show. */
type RunVerdict = "ran" | "did not run" | "may have run";

/** What became of one request. */
export interface RequestTrace {
    readonly request: string;
    readonly route: string | undefined;
    /** One line a step, in the order of the log. */
    readonly steps: readonly string[];
    readonly verdict: RunVerdict;
    readonly lines: readonly LogLine[];
}

/** Why each refusal is given, as on-call needs it. */
const reasons: Readonly<Record<RefusalKind, string>> = {
    notReady: "the box lacked a copy of the configuration, the servers or the closed zones",
    leaving: "the box was stopping",
    noRoute: "no route has this host and path",
    unknownKey: "the configuration in force knows no such key, or the request had none",
    copyTooOld: "the box's copy of the configuration is too old to know whether this key exists or still stands",
    quotaSpent: "the customer's quota over all boxes had no room",
    bodyTooLarge: "the body is beyond the configuration's limit",
    bodyStalled: "the body hardly came on while the memory for bodies was spent and others waited",
    bodiesFull: "the memory for bodies was spent, and as many as may wait were waiting",
    noServer: "no server may take the request",
    serversCold: "the servers that are left are in slow start and had their share",
    serversBackedOff: "the servers that are left want nothing from this box for a while",
    serversLimited: "the servers that are left name limits, and had what they take from all boxes",
    tooLate: "no server could answer in the time that was left",
    crowded: "the wait for a free slot was too long for the route's goal",
    serversFull: "as many servers as the route allows said that they are full",
    budgetSpent: "no retry was left in the window",
    endsServers:
        "three servers ended one after the other while they had this same request, and none has answered it since",
    unreachable: "four servers took no connection",
    timedOutUnsent: "the time limit was over before a server had the request",
    timedOut: "the time limit was over while a server had the request",
    brokenOff: "the connection to the server broke after the request was sent",
    unprovenAnswer: "a success came without the server's stamp, or in another coding",
    unframedAnswer:
        "the answer had no length, and could not end the connection since requests behind it were at servers",
    internalFault: "a fault of the program: please report it",
};

/** Status by which a refusal promises that the request has not run. */
const statusNotRun = 503;

/** Returns the story of a request; undefined if none of the lines is of it. */
export function traceRequest(request: string, lines: readonly LogLine[]): RequestTrace | undefined {
    const own = lines.filter(line => line.request === request || latestSend(line, request) !== undefined);
    if (own.length === 0) {
        return undefined;
    }
    return {
        request,
        route: own.find(line => line.route !== undefined)?.route,
        steps: own.map(line => tellLine(line, request)),
        verdict: judge(own),
        lines: own,
    };
}

function tellLine(line: LogLine, request: string): string {
    switch (line.event) {
        case "attempt.failed":
            return `attempt at ${line.server}${versionOf(line)}: ${line.reason}; ${line.timeLeft} ms left`;
        case "attempt.hedged":
            return `${line.overdue} overdue after ${line.after} ms: ${line.second} has it too`;
        case "request.served":
            return `answered ${line.status} after ${line.after} ms${choiceOf(line)}; configuration ${line.version}`;
        case "request.refused":
            return `refused as ${line.refusal} after ${line.after ?? 0} ms: ${
                reasonOf(line)
            }; configuration ${line.version}`;
        case "request.callerLeft":
            return `the caller left after ${line.after} ms`;
        case "request.noRoute":
            return `answered 404: no route for ${line.host}${line.path} in configuration ${line.version}`;
        case "server.leaving":
            return `${line.server} was ${line.as} ${
                tellSend(line, request)
            }; the list had been unconfirmed for ${line.unconfirmedFor} ms`;
        case "server.restarted":
            return `${line.server} was found to have started again ${tellSend(line, request)}`;
        case "request.fault":
            return `ended by a fault of the program: ${line.reason}`;
        default:
            return `${line.event}`;
    }
}

/** A request among the latest that a line on a server names. Times in milliseconds, as texts. */
interface LatestSend {
    readonly age: string;
    readonly wait: string;
    readonly listAge: string;
}

/** Finds a request in `sends=id:age:wait:listAge,…`. */
function latestSend({ sends }: LogLine, request: string): LatestSend | undefined {
    const found = sends?.split(",").find(send => send.startsWith(`${request}:`));
    const [age, wait, listAge] = found?.slice(request.length + 1).split(":") ?? [];
    return listAge === undefined ? undefined : { age, wait, listAge };
}

function tellSend(line: LogLine, request: string): string {
    const send = latestSend(line, request);
    if (send === undefined) {
        return "";
    }
    const { age, listAge, wait } = send;
    return `${age} ms after the request was sent there, ${wait} ms after its choice by a list of ${listAge} ms`;
}

/** Why the last server and not another, as far as the line has it. */
function choiceOf(line: LogLine): string {
    const { expected, rank, runnerUp, runnerUpExpected, tried, warm } = line;
    const server = tried?.split(",").at(-1);
    if (server === undefined || rank === undefined) {
        return "";
    }
    const key = warm === "true" ? "known there" : "not known there";
    const other = runnerUp === undefined
        ? "no other was compared"
        : `${runnerUp} came second with ${runnerUpExpected} ms`;
    return ` by ${server}${
        versionOf(line)
    }, rank ${rank} of its key, which was ${key}: ${expected} ms expected, ${other}`;
}

/** The version of a server's software, where versions were compared. */
function versionOf({ serverVersion }: LogLine): string {
    return serverVersion === undefined ? "" : ` of version ${serverVersion}`;
}

function reasonOf({ refusal }: LogLine): string {
    return isRefusalKind(refusal) ? reasons[refusal] : "not a reason of this release";
}

function isRefusalKind(text: string | undefined): text is RefusalKind {
    return text !== undefined && text in reasons;
}

function judge(lines: readonly LogLine[]): RunVerdict {
    const end = lines.find(line => line.event?.startsWith("request."));
    switch (end?.event) {
        case "request.served":
            return "ran";
        case "request.noRoute":
            return "did not run";
        case "request.refused":
            return isRefusalKind(end.refusal) && promisesNotRun(end) ? "did not run" : "may have run";
        default:
            return Number(end?.sent ?? 1) === 0 ? "did not run" : "may have run";
    }
}

/** A refusal without a promise still says so if no server had the request. */
function promisesNotRun(end: LogLine): boolean {
    const { status } = refusals[end.refusal as RefusalKind];
    return status === statusNotRun || Number(end.sent ?? 0) === 0;
}
