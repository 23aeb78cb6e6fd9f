/**
 * Traces one request through log lines: which servers it was sent to, why one of
 * them was chosen, how it ended, and whether it ran.
 *
 * Pure; relies on the events and fields of the boxes' request log.
 */

import { guaranteesNotRun, type RefusalKind } from "@chalkdale/decisions";
import type { LogLine } from "./log-lines.js";

/** Whether a server ran a request, as far as the log lines show. */
type RunVerdict = "ran" | "did not run" | "may have run";

/** The trace of one request; `explain --json` writes it as it is. */
export interface RequestTrace {
    readonly request: string;
    readonly route: string | undefined;
    /** Descriptions of the log lines, in the order of the log. */
    readonly steps: readonly string[];
    readonly verdict: RunVerdict;
    /** The log lines that concern the request. */
    readonly lines: readonly LogLine[];
}

/** Cause of each refusal, in words for on-call. */
const refusalReasons: Readonly<Record<RefusalKind, string>> = {
    notReady: "the box had no copy of the configuration, the servers or the closed zones",
    leaving: "the box was shutting down",
    noRoute: "no route matches this host and path",
    unknownKey: "the request had no key, or one that the configuration in force does not have",
    copyTooOld: "the box's copy of the configuration is too old to tell whether this key exists or is still valid",
    quotaSpent: "the customer's quota across all boxes was used up",
    bodyTooLarge: "the body exceeds the configuration's limit",
    bodyStalled: "the body arrived too slowly while the memory for bodies was used up and others waited",
    bodiesFull: "the memory for bodies was used up, and the queue for it was full",
    noServer: "no server is eligible for the request",
    serversCold: "the remaining servers are in slow start and have received their share",
    serversBackedOff: "the remaining servers have requested a back-off from this box",
    serversLimited: "the remaining servers have reported rate limits, which all boxes together have used up",
    tooLate: "no server could answer in the remaining time",
    crowded: "the wait for a free slot was too long for the route's latency goal",
    serversFull: "as many servers as the route allows answered that they are full",
    budgetSpent: "the retry budget of the window was used up",
    endsServers:
        "poison request: three servers terminated one after the other while they had it, and none has answered it since",
    unreachable: "four servers accepted no connection",
    noPath: "the box reached no server, neither directly nor through other boxes",
    timedOutUnsent: "the time limit passed before a server had the request",
    timedOut: "the time limit passed while a server had the request",
    brokenOff: "the connection to the server broke after the request was sent",
    unprovenAnswer: "a success arrived without the server's stamp, or in another content coding",
    unprovenNotRun: "a server answered that the request has not run, without the header that says so: it may have run",
    unframedAnswer:
        "the answer had no length, and its end could not be marked by closing the connection since servers had requests behind it",
    internalFault: "an internal error of the box; please report it",
};

/** Returns the trace of a request, or undefined if none of the lines concerns it. */
export function traceRequest(request: string, lines: readonly LogLine[]): RequestTrace | undefined {
    const matching = lines.filter(line => line.request === request || latestSend(line, request) !== undefined);
    if (matching.length === 0) {
        return undefined;
    }
    return {
        request,
        route: matching.find(line => line.route !== undefined)?.route,
        steps: matching.map(line => describeLine(line, request)),
        verdict: verdictOf(matching),
        lines: matching,
    };
}

function describeLine(line: LogLine, request: string): string {
    switch (line.event) {
        case "attempt.failed":
            return `attempt at ${line.server}${versionOf(line)}: ${line.reason}; ${line.timeLeft} ms left`;
        case "attempt.through":
            return `the path to ${line.server} is cut: sent through ${line.box}`;
        case "attempt.forwarded":
            return `forwarded to ${line.server} for ${line.from}, which has no path to it: ${line.outcome} after ${line.after} ms`;
        case "attempt.hedged":
            return `${line.overdue} overdue after ${line.after} ms: hedged attempt at ${line.second}`;
        case "request.served":
            return `answered ${line.status} after ${line.after} ms${choiceOf(line)}; configuration ${line.version}${
                sendResultsOf(line)
            }`;
        case "request.refused":
            return `refused as ${line.refusal} after ${line.after ?? 0} ms: ${
                reasonOf(line)
            }; configuration ${line.version}${sendResultsOf(line)}`;
        case "request.callerLeft":
            return `the caller disconnected after ${line.after} ms${unreadOf(line)}`;
        case "request.noRoute":
            return `answered 404: no route for ${line.host}${line.path} in configuration ${line.version}`;
        case "server.leaving":
            return `${line.server} was ${line.as} ${
                describeSend(line, request)
            }; the list had been unconfirmed for ${line.unconfirmedFor} ms`;
        case "server.restarted":
            return `${line.server} was found to have restarted ${describeSend(line, request)}`;
        case "request.fault":
            return `ended by an internal error of the box: ${line.reason}`;
        default:
            return `${line.event}`;
    }
}

/** One of the latest requests to a server, from a log line about the server. Times are in milliseconds, as text. */
interface LatestSend {
    /** Time since the request was sent. */
    readonly age: string;
    /** Time from the choice of the server until the request was sent. */
    readonly wait: string;
    /** Time since the list of servers was confirmed, when the server was chosen. */
    readonly listAge: string;
}

/** Finds a request in the field `sends=id:age:wait:listAge,…` of a line. */
function latestSend({ sends }: LogLine, request: string): LatestSend | undefined {
    const found = sends?.split(",").find(send => send.startsWith(`${request}:`));
    const [age, wait, listAge] = found?.slice(request.length + 1).split(":") ?? [];
    return listAge === undefined ? undefined : { age, wait, listAge };
}

function describeSend(line: LogLine, request: string): string {
    const send = latestSend(line, request);
    if (send === undefined) {
        return "";
    }
    const { age, listAge, wait } = send;
    return `${age} ms after the request was sent to it, ${wait} ms after it was chosen from a list ${listAge} ms old`;
}

/** Describes why the last server was chosen, or returns an empty text if the line does not say. */
function choiceOf(line: LogLine): string {
    const { expected, rank, runnerUp, runnerUpExpected, tried, warm } = line;
    const server = tried?.split(",").at(-1);
    if (server === undefined || rank === undefined) {
        return "";
    }
    const key = warm === "true" ? "warm" : "cold";
    const other = runnerUp === undefined
        ? "no other server was compared"
        : `${runnerUp} came second with ${runnerUpExpected} ms`;
    return ` by ${server}${
        versionOf(line)
    }, rank ${rank} for its key, which was ${key} there: ${expected} ms expected, ${other}`;
}

/** Names the version of a server's software, which lines state only while versions are compared. */
function versionOf({ serverVersion }: LogLine): string {
    return serverVersion === undefined ? "" : ` of version ${serverVersion}`;
}

/** What each send was told, over which connection or through which box; empty for a line of an earlier release. */
function sendResultsOf({ sendResults }: LogLine): string {
    return sendResults === undefined ? "" : `; sends: ${sendResults}`;
}

function reasonOf({ refusal }: LogLine): string {
    return isRefusalKind(refusal) ? refusalReasons[refusal] : "a kind of refusal that this release does not know";
}

function isRefusalKind(text: string | undefined): text is RefusalKind {
    return text !== undefined && text in refusalReasons;
}

function verdictOf(lines: readonly LogLine[]): RunVerdict {
    const end = lines.find(line => line.event?.startsWith("request."));
    switch (end?.event) {
        case "request.served":
            return "ran";
        case "request.noRoute":
            return "did not run";
        case "request.refused":
            return isRefusalKind(end.refusal) && showsNotRun(end) ? "did not run" : "may have run";
        default:
            return Number(end?.sent ?? 1) === 0 ? "did not run" : "may have run";
    }
}

/** True if the refusal's status guarantees that the request has not run, or if it was sent to no server. */
function showsNotRun(end: LogLine): boolean {
    return guaranteesNotRun(end.refusal as RefusalKind) || Number(end.sent ?? 0) === 0;
}

/** Describes a request that was read late, and when it was sent after that; empty for one that was read in time. */
function unreadOf(line: LogLine): string {
    if (Number(line.unreadFor ?? 0) === 0) {
        return "";
    }
    const sent = line.sentAfter === undefined ? "nothing was sent" : `sent ${line.sentAfter} ms after it was read`;
    return `; it had been unread for up to ${line.unreadFor} ms, ${sent}`;
}
