import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { isReadingPaused } from "../src/backpressure.js";
import { createLoopShare, type LoopShare } from "../src/loop-share.js";

/** A connection that carries nothing. */
function createConnection(): Socket {
    return new Duplex({ read: () => undefined, write: (_bytes, _encoding, done) => done() }) as Socket;
}

describe("a connection's share of the event loop [P9]", () => {
    let now: number;
    let share: LoopShare;
    let connections: Socket[];

    beforeEach(() => {
        now = 0;
        share = createLoopShare(() => milliseconds(now));
        connections = [];
    });

    afterEach(() => connections.forEach(connection => connection.destroy()));

    const open = () => {
        const connection = createConnection();
        connections.push(connection);
        return connection;
    };
    const read = (connection: Socket, duration: number) => {
        share.run(connection, () => {
            now += duration;
        });
    };

    it("does not pause one whose bytes take little time", () => {
        const connection = open();
        for (let count = 0; count < 1000; count++) {
            read(connection, 0.2);
            now += 1;
        }
        expect(isReadingPaused(connection)).to.equal(false);
    });

    it("does not pause one whose read is held up once by the process", () => {
        const connection = open();
        read(connection, 5000);
        expect(isReadingPaused(connection)).to.equal(false);
    });

    it("pauses one that takes up the loop, until the time of the others makes up for it", async () => {
        const connection = open();
        for (let count = 0; count < 4; count++) {
            read(connection, 10);
        }
        expect(isReadingPaused(connection)).to.equal(true);
        expect(share.pausedCount()).to.equal(1);
        await new Promise(resolve => setTimeout(resolve, 60));
        expect(isReadingPaused(connection)).to.equal(true);
        await new Promise(resolve => setTimeout(resolve, 120));
        expect(isReadingPaused(connection)).to.equal(false);
    });

    it("is smaller the more of them take up the loop", async () => {
        const all = Array.from({ length: 4 }, open);
        for (const connection of all) {
            read(connection, 20);
            read(connection, 20);
        }
        await new Promise(resolve => setTimeout(resolve, 250));
        expect(all.map(isReadingPaused)).to.deep.equal([false, true, true, true]);
    });

    it("pauses a connection once, though buffered bytes of it are still handled", async () => {
        const connection = open();
        for (let count = 0; count < 4; count++) {
            read(connection, 20);
        }
        expect(share.pausedCount()).to.equal(1);
        connection.destroy();
        await new Promise(resolve => setImmediate(resolve));
        expect(share.pausedCount()).to.equal(0);
    });

    it("is free again once the connection closes", async () => {
        const connection = open();
        read(connection, 20);
        read(connection, 20);
        connection.destroy();
        await new Promise(resolve => setImmediate(resolve));
        expect(share.pausedCount()).to.equal(0);
    });

    it("counts the time of listeners for received data", () => {
        const connection = open();
        connection.on("data", () => {
            now += 20;
        });
        share.meter(connection);
        connection.emit("data", Buffer.from("a"));
        connection.emit("data", Buffer.from("b"));
        expect(isReadingPaused(connection)).to.equal(true);
    });

    // Guards against connections that wait for seconds to be accepted: Node accepts one in each turn of the loop.
    it("lets the loop turn between the parts of a read that takes long", async () => {
        const connection = open();
        let parts = 0;
        connection.on("data", () => {
            now += 3;
            parts += 1;
        });
        share.meter(connection);
        await new Promise(resolve => setImmediate(resolve));
        connection.push(Buffer.alloc(64 * 1024));
        expect(parts).to.equal(2);
        await new Promise(resolve => setImmediate(resolve));
        expect(parts).to.equal(4);
        expect(share.pausedCount()).to.equal(0);
    });

    // Guards against one read of thousands of tiny chunks that is handled in one turn.
    it("ends within one read that takes long, and the rest of it follows later", async () => {
        const connection = open();
        let handled = 0;
        connection.on("data", (bytes: Buffer) => {
            now += bytes.length / 1024;
            handled += bytes.length;
        });
        share.meter(connection);
        await new Promise(resolve => setImmediate(resolve));
        connection.push(Buffer.alloc(64 * 1024));
        expect(handled).to.be.lessThan(48 * 1024);
        expect(isReadingPaused(connection)).to.equal(true);
        while (handled < 64 * 1024) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        expect(handled).to.equal(64 * 1024);
    });
});
