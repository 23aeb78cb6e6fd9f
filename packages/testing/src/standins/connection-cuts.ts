/**
 * Makes new connections from chosen local addresses hang or be refused, as a partition
 * does. A proxy can't do that: the operating system accepts for it.
 *
 * Replaces `Socket.prototype.connect` of this process, for `net`, `http` and `undici` alike.
 * Owns the rules; without any, connections are opened as usual.
 */

import { type NetConnectOpts, Socket } from "node:net";

/** What happens to new connections: no answer ever comes, or they are refused. */
export type ConnectionCutKind = "hang" | "refuse";

/** Decides by source and destination; undefined for a connection that is opened as usual. */
export type ConnectionCutRule = (localHost: string, remoteAddress: string) => ConnectionCutKind | undefined;

type ConnectArguments = readonly unknown[];

const rules = new Set<ConnectionCutRule>();
let isInstalled = false;

/** Adds a rule; returns the function that removes it. */
export function addConnectionCutRule(rule: ConnectionCutRule): () => void {
    install();
    rules.add(rule);
    return () => rules.delete(rule);
}

function install(): void {
    if (isInstalled) {
        return;
    }
    isInstalled = true;
    const prototype = Socket.prototype as unknown as { connect: (...all: unknown[]) => Socket; };
    const connect = prototype.connect;
    prototype.connect = function connectUnlessCut(this: Socket, ...all: unknown[]): Socket {
        switch (cutKindOf(all)) {
            case undefined:
                return connect.apply(this, all);
            case "hang":
                return this;
            case "refuse":
                process.nextTick(() => this.destroy(refusal()));
                return this;
        }
    };
}

function cutKindOf(all: ConnectArguments): ConnectionCutKind | undefined {
    const options = connectOptionsOf(all);
    if (options === undefined || !("port" in options)) {
        return undefined;
    }
    for (const rule of rules) {
        const kind = rule(options.localAddress ?? "127.0.0.1", `${options.host}:${options.port}`);
        if (kind !== undefined) {
            return kind;
        }
    }
    return undefined;
}

/** Returns the options of a connection; `net.connect` passes them in an array of its own. */
function connectOptionsOf([first]: ConnectArguments): NetConnectOpts | undefined {
    const options = Array.isArray(first) ? (first as unknown[])[0] : first;
    return typeof options === "object" && options !== null ? options as NetConnectOpts : undefined;
}

function refusal(): NodeJS.ErrnoException {
    return Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
}
