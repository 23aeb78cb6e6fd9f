/**
 * A loopback TCP proxy that impairs the connections through it: it delays bytes, resets
 * connections, or stops passing bytes in one direction or both, for a while or for good. A reset of one end is passed
 * on to the other.
 *
 * Owns the proxy's sockets and the record of when the link was impaired.
 */

import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/**
 * What the proxy does with bytes: passes them on (`whole`), late (`delayed`), not at all (`silent`), or not from
 * the target to the caller (`silentBack`).
 */
export type LinkState = "whole" | "delayed" | "silent" | "silentBack";

/** A proxied link to one target. */
export interface FaultProxy {
    /** Address at which the proxy listens, `host:port`. */
    readonly address: () => string;
    /** Changes the state of open and new connections. */
    readonly setState: (state: LinkState) => void;
    /**
     * Stops passing bytes on the open connections for good, as a middlebox does that has dropped its state: neither
     * end sees an error, nor the close of the other end. New connections work.
     */
    readonly blackholeOpenConnections: () => void;
    /** Resets the open connections, or only those from one address. */
    readonly resetOpenConnections: (callerHost?: string) => void;
    /** Stops or resumes passing bytes in both directions for the connections from one address, open and new ones. */
    readonly setSilentFor: (callerHost: string, isSilent: boolean) => void;
    /** True if bytes may have been held back or lost between two times of `performance.now()`. */
    readonly wasImpaired: (from: number, to: number) => boolean;
    readonly close: () => void;
}

/** The caller's socket and the socket to the target. */
type SocketPair = readonly [Socket, Socket];

/** Milliseconds by which a delayed link holds back bytes. */
const delay = 150;

/** Source address of the proxy's connections to its target: a fixed local address, or each caller's own. */
export type ProxySourceAddress = { readonly kind: "fixed"; readonly host: string; } | { readonly kind: "own"; };

/** Starts a proxy to the target `host:port`. */
export async function startFaultProxy(
    target: string,
    source: ProxySourceAddress = { kind: "own" },
): Promise<FaultProxy> {
    const pairs = new Set<SocketPair>();
    const blackholed = new Set<SocketPair>();
    /** Addresses of callers whose connections pass no bytes. */
    const silencedCallers = new Set<string>();
    let state: LinkState = "whole";
    /** Intervals of `performance.now()` in which the link was impaired; the last one may be open. */
    const impairments: { readonly from: number; to: number; }[] = [];
    const server: Server = createServer(onConnection);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));

    return {
        address: () => `127.0.0.1:${(server.address() as AddressInfo).port}`,
        setState(next) {
            recordImpairment(next === "whole" ? 0 : Infinity);
            state = next;
            pairs.forEach(resume);
        },
        blackholeOpenConnections() {
            recordImpairment(0);
            pairs.forEach(pair => {
                blackholed.add(pair);
                pair.forEach(socket => socket.pause());
            });
            pairs.clear();
        },
        resetOpenConnections(callerHost) {
            recordImpairment(0);
            for (const [caller, upstream] of pairs) {
                if (callerHost === undefined || caller.remoteAddress === callerHost) {
                    caller.resetAndDestroy();
                    upstream.destroy();
                }
            }
        },
        setSilentFor(callerHost, isSilent) {
            recordImpairment(0);
            if (isSilent) {
                silencedCallers.add(callerHost);
                return;
            }
            silencedCallers.delete(callerHost);
            pairs.forEach(resume);
        },
        wasImpaired: (from, to) => impairments.some(impairment => impairment.from <= to && impairment.to >= from),
        close() {
            server.close();
            [...pairs, ...blackholed].forEach(pair => pair.forEach(socket => socket.destroy()));
        },
    };

    function recordImpairment(duration: number): void {
        const at = performance.now();
        const last = impairments.at(-1);
        if (last !== undefined && last.to === Infinity) {
            last.to = at;
        }
        impairments.push({ from: at, to: at + duration });
    }

    function onConnection(caller: Socket): void {
        const [host, port] = target.split(":");
        const localAddress = source.kind === "fixed" ? source.host : caller.remoteAddress;
        const upstream = connect({ host, port: Number(port), localAddress, noDelay: true });
        const pair = [caller, upstream] as const;
        const callerHost = caller.remoteAddress ?? "";
        pairs.add(pair);
        const isBlackholed = () => blackholed.has(pair);
        const isSilent = () => isBlackholed() || silencedCallers.has(callerHost) || state === "silent";
        pipe(caller, upstream, isSilent);
        pipe(upstream, caller, () => isSilent() || state === "silentBack");
        for (const socket of pair) {
            let isReset = false;
            const end = () => {
                pairs.delete(pair);
                (isBlackholed() ? [socket] : pair).forEach(ended =>
                    isReset ? ended.resetAndDestroy() : ended.destroy()
                );
            };
            // Node reports a reset behind unread bytes as an end; a connection that was reset has no peer. Node keeps the
            // caller's address from its first use, so only the target's end can be told so.
            socket.prependListener("end", () => {
                isReset ||= socket === upstream && socket.remoteAddress === undefined;
            });
            socket.on("error", ({ code }: NodeJS.ErrnoException) => {
                isReset ||= code === "ECONNRESET";
                end();
            });
            socket.on("close", end);
        }
    }

    /** Passes bytes on; while the direction is silent, they wait in the sender's socket. */
    function pipe(from: Socket, to: Socket, isSilent: () => boolean): void {
        from.on("data", (data: Buffer) => {
            if (isSilent()) {
                from.pause();
                from.unshift(data);
                return;
            }
            const pass = () => {
                if (!to.destroyed) {
                    to.write(data);
                }
            };
            if (state === "delayed") {
                setTimeout(pass, delay);
                return;
            }
            pass();
        });
    }

    function resume(pair: SocketPair): void {
        if (state !== "silent" && !silencedCallers.has(pair[0].remoteAddress ?? "")) {
            pair.forEach(socket => socket.resume());
        }
    }
}
