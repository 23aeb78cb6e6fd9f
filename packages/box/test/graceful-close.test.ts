import { expect } from "chai";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { closeGracefully } from "../src/callers/graceful-close.js";

const bytesPerMegabyte = 1024 * 1024;

describe("the graceful close of a caller's connection [P9]", () => {
    async function withConnection(run: (boxSide: Socket, caller: Socket) => Promise<void>): Promise<void> {
        const server = createServer({ allowHalfOpen: true });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
        const { port } = server.address() as AddressInfo;
        const caller = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        caller.on("error", () => undefined);
        const boxSide = await accepted;
        boxSide.on("error", () => undefined);
        boxSide.resume();
        try {
            await run(boxSide, caller);
        }
        finally {
            caller.destroy();
            server.close();
        }
    }

    // Guards against a loop that discards, at full speed for a second, what a caller sends without end.
    it("reads only so much of what a caller sends without end", async () => {
        await withConnection(async (boxSide, caller) => {
            const block = Buffer.alloc(bytesPerMegabyte);
            const send = () => {
                if (!caller.destroyed) {
                    caller.write(block, error => error ?? setImmediate(send));
                }
            };
            const closed = new Promise(resolve => boxSide.once("close", resolve));
            closeGracefully(boxSide);
            send();
            await closed;
            expect(boxSide.bytesRead).to.be.lessThan(20 * bytesPerMegabyte);
        });
    });

    // Guards against a parser that finds the same error in each part of what a caller still sends.
    it("hands on nothing of what it discards", async () => {
        await withConnection(async (boxSide, caller) => {
            let handedOn = 0;
            boxSide.on("data", bytes => {
                handedOn += bytes.length;
            });
            const closed = new Promise(resolve => boxSide.once("close", resolve));
            closeGracefully(boxSide);
            caller.end("more bytes");
            await closed;
            expect(boxSide.bytesRead).to.equal("more bytes".length);
            expect(handedOn).to.equal(0);
        });
    });

    it("ends as soon as the caller has closed its side", async () => {
        await withConnection(async (boxSide, caller) => {
            const closed = new Promise(resolve => boxSide.once("close", resolve));
            closeGracefully(boxSide);
            caller.end("what was sent before");
            await closed;
            expect(boxSide.bytesRead).to.equal("what was sent before".length);
        });
    });
});
