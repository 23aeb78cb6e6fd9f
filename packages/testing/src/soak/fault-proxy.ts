/**
 * A loopback proxy that harms the connections through it: delays, resets,
 * silence in one direction or both, for a while or for good.
 */

import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** What the proxy does with bytes. */
export type LinkState = "whole" | "delayed" | "silent" | "silentBack";

/** A link to one target. */
export interface FaultProxy {
    readonly address: () => string;
    /** Applies to open connections and new ones. */
    readonly setState: (state: LinkState) => void;
    /**
     * The open connections fall silent for good, as if a box between them had forgotten them: neither end learns of it, nor of
     * the end of the other. New ones work.
     */
    readonly blackholeOpenConnections: () => void;
    /** Resets the open connections. */
    readonly resetOpenConnections: () => void;
    /** True if bytes may have been held back or lost in a span, by the steady clock. */
    readonly wasImpaired: (from: number, to: number) => boolean;
    readonly close: () => void;
}

/** The caller's socket and the one to the target. */
type SocketPair = readonly [Socket, Socket];

/** Milliseconds by which a delayed link holds bytes back. */
const delay = 150;

/** As whose calls the target takes those of a proxy: a fixed address of this machine, or each caller's own. */
export type ProxySourceAddress = { readonly kind: "fixed"; readonly host: string; } | { readonly kind: "own"; };

/** Starts a proxy to a target `host:port`. */
export async function startFaultProxy(target: string, as: ProxySourceAddress = { kind: "own" }): Promise<FaultProxy> {
    const pairs = new Set<SocketPair>();
    const silenced = new Set<SocketPair>();
    let state: LinkState = "whole";
    /** Spans of the steady clock in which the link was harmed; the last one may go on. */
    const harms: { readonly from: number; to: number; }[] = [];
    const server: Server = createServer(onConnection);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));

    return {
        address: () => `127.0.0.1:${(server.address() as AddressInfo).port}`,
        setState(next) {
            noteHarm(next === "whole" ? 0 : Infinity);
            state = next;
            pairs.forEach(resume);
        },
        blackholeOpenConnections() {
            noteHarm(0);
            pairs.forEach(pair => {
                silenced.add(pair);
                pair.forEach(socket => socket.pause());
            });
            pairs.clear();
        },
        resetOpenConnections() {
            noteHarm(0);
            pairs.forEach(([caller, called]) => {
                caller.resetAndDestroy();
                called.destroy();
            });
        },
        wasImpaired: (from, to) => harms.some(harm => harm.from <= to && harm.to >= from),
        close() {
            server.close();
            [...pairs, ...silenced].forEach(pair => pair.forEach(socket => socket.destroy()));
        },
    };

    function noteHarm(duration: number): void {
        const at = performance.now();
        const last = harms.at(-1);
        if (last !== undefined && last.to === Infinity) {
            last.to = at;
        }
        harms.push({ from: at, to: at + duration });
    }

    function onConnection(caller: Socket): void {
        const [host, port] = target.split(":");
        const localAddress = as.kind === "fixed" ? as.host : caller.remoteAddress;
        const called = connect({ host, port: Number(port), localAddress, noDelay: true });
        const pair = [caller, called] as const;
        pairs.add(pair);
        const isLost = () => silenced.has(pair);
        pipe(caller, called, () => isLost() || state === "silent");
        pipe(called, caller, () => isLost() || state === "silent" || state === "silentBack");
        for (const socket of pair) {
            const end = () => {
                pairs.delete(pair);
                (isLost() ? [socket] : pair).forEach(ended => ended.destroy());
            };
            socket.on("error", end);
            socket.on("close", end);
        }
    }

    /** Passes bytes on; while the direction is silent they wait in the sender's socket. */
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
        if (state !== "silent") {
            pair.forEach(socket => socket.resume());
        }
    }
}
