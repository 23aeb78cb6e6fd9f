/**
 * A loopback proxy that harms the connections through it: delays, resets,
 * silence in one direction or both.
 */

import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** What the proxy does with bytes. */
export type LinkState = "whole" | "delayed" | "silent" | "silentBack";

/** A link to one target. */
export interface Proxy {
    readonly address: () => string;
    /** Applies to open connections and new ones. */
    readonly setState: (state: LinkState) => void;
    /** Resets the open connections. */
    readonly reset: () => void;
    readonly close: () => void;
}

const delay = 150;

/** Starts a proxy to a target `host:port`, which takes its calls as coming from an address of this machine if one is given. */
export async function startProxy(target: string, localAddress?: string): Promise<Proxy> {
    const pairs = new Set<readonly [Socket, Socket]>();
    let state: LinkState = "whole";
    const server: Server = createServer(onConnection);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));

    return {
        address: () => `127.0.0.1:${(server.address() as AddressInfo).port}`,
        setState(next) {
            state = next;
            pairs.forEach(resume);
        },
        reset() {
            pairs.forEach(([caller, called]) => {
                caller.resetAndDestroy();
                called.destroy();
            });
        },
        close() {
            server.close();
            pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
        },
    };

    function onConnection(caller: Socket): void {
        const [host, port] = target.split(":");
        const called = connect({ host, port: Number(port), localAddress, noDelay: true });
        const pair = [caller, called] as const;
        pairs.add(pair);
        pipe(caller, called, () => state === "silent");
        pipe(called, caller, () => state === "silent" || state === "silentBack");
        const end = () => {
            pairs.delete(pair);
            caller.destroy();
            called.destroy();
        };
        for (const socket of pair) {
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

    function resume(pair: readonly [Socket, Socket]): void {
        if (state !== "silent") {
            pair.forEach(socket => socket.resume());
        }
    }
}
