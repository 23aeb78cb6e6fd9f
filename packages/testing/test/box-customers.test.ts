/**
 * One box whose callers need keys, over real sockets: which requests are admitted, and which headers reach the servers.
 */

import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import type { ClientRequest } from "../src/standins/client.js";
import { pause, testHost, waitUntil } from "../src/standins/deployment.js";
import { openPipeline } from "../src/standins/pipelining-client.js";
import type { TenantOptions } from "../src/standins/platform-objects.js";
import { type OneBox, rules, startOneBox } from "./one-box.js";

const tenants: readonly TenantOptions[] = [
    { name: "club", keys: ["key-of-club", "second-key-of-club"] },
    { name: "southern", keys: ["key-of-southern"], homeRegions: ["south"] },
];

/** Milliseconds after which a box has started and other rules apply to its first requests. */
const startTime = milliseconds(2000);

describe("a box whose callers need keys", () => {
    let world: OneBox;
    let version: number;

    beforeEach(async () => {
        world = await startOneBox();
        version = 2;
        await configure(tenants);
    });

    afterEach(() => world.deployment.close());

    async function configure(customers: readonly TenantOptions[]): Promise<void> {
        version += 1;
        world.deployment.configure(
            version,
            [...rules, { name: "open", path: "/open/", kind: "safe", isPublic: true }],
            customers,
        );
        await waitUntil(
            () => world.box.logLines.some(line => line.includes(`version=${version}`)),
            "the configuration is in force",
        );
        await waitUntil(async () => (await ask("/lookup/")).status === 401, "the copy is confirmed");
    }

    const ask = (path: string, options?: Partial<ClientRequest>) => world.ask(path, options);

    it("passes the customer on to the server, but never the key [P21]", async () => {
        expect((await ask("/lookup/", { credential: "second-key-of-club" })).status).to.equal(200);
        const [{ headers }] = world.runs();
        expect(headers.tenant).to.equal("club");
        expect(headers).not.to.have.property("credential");
    });

    it("removes the customer header that a caller sent, also on public routes [P21]", async () => {
        const forged = { extraHeaders: { Tenant: "southern", Connection: "tenant" } };
        await ask("/lookup/", { credential: "key-of-club", ...forged });
        await ask("/open/", { ...forged });
        await ask("/open/", { credential: "key-of-club", extraHeaders: { Tenant: "southern" } });
        expect(world.runs().map(run => run.headers.tenant)).to.deep.equal(["club", undefined, undefined]);
        expect(world.runs().map(run => run.headers.credential)).to.deep.equal([undefined, undefined, undefined]);
    });

    it("rejects requests without a key, with an unknown key, or with two keys [P21]", async () => {
        expect((await ask("/lookup/")).status).to.equal(401);
        for (
            const credential of [
                "nobody's",
                "",
                "Key-Of-Club",
                ["key-of-club", "key-of-club"],
                "key-of-club, x",
                "x".repeat(9000),
            ]
        ) {
            expect((await ask("/lookup/", { credential })).status).to.equal(401);
        }
        expect(world.runs()).to.have.length(0);
    });

    it("rejects random keys, and goes on serving [P21]", async () => {
        const text = fc.stringMatching(/^[\x21-\x7e]{0,60}$/);
        await fc.assert(
            fc.asyncProperty(text, async credential => {
                expect((await ask("/lookup/", { credential })).status).to.equal(401);
            }),
            { numRuns: 30 },
        );
        expect((await ask("/lookup/", { credential: "key-of-club" })).status).to.equal(200);
    });

    it("rejects a key that was revoked, and accepts one that was moved to another customer [P21]", async () => {
        await configure([{ name: "club", keys: ["second-key-of-club"] }, { name: "other", keys: ["key-of-club"] }]);
        expect((await ask("/lookup/", { credential: "key-of-southern" })).status).to.equal(401);
        expect((await ask("/lookup/", { credential: "key-of-club" })).status).to.equal(200);
        expect(world.runs().at(-1)?.headers.tenant).to.equal("other");
    });

    it("serves a customer in its home regions only [P15]", async () => {
        for (let key = 0; key < 12; key++) {
            await ask("/lookup/", { affinityKey: `k-${key}`, credential: "key-of-southern" });
        }
        expect(world.first.runs).to.have.length(0);
        expect(world.second.runs).to.have.length(12);
    });

    it("writes no key to its log [P21]", async () => {
        await ask("/lookup/", { credential: "key-of-club" });
        await ask("/lookup/", { credential: "nobody's" });
        world.misbehave({ kind: "shed" });
        await ask("/save/", { credential: "key-of-club", method: "POST" });
        const text = world.box.logLines.join("\n");
        expect(text).to.include("customer=club").and.include("refusal=unknownKey").and.include("refusal=serversFull");
        expect(text).not.to.match(/key-of|nobody's/);
    });

    it("answers an unknown key with 503 instead of 401 while its copy is too old [P21]", async () => {
        world.deployment.storeServer.close();
        await waitUntil(
            async () => (await ask("/lookup/", { credential: "nobody's" })).status === 503,
            "the copy is too old",
        );
        expect((await ask("/lookup/", { credential: "key-of-club" })).status).to.equal(200);
    });

    describe("with a quota", () => {
        const limited = { name: "limited", keys: ["key-of-limited"], rate: 2, burst: 3 };
        const askAtOnce = async (count: number, credential: string) =>
            Promise.all(Array.from({ length: count }, () => ask("/lookup/", { credential })));

        it("refuses requests beyond it unrun and with Retry-After, and serves other customers [P22]", async () => {
            await configure([...tenants, limited]);
            const answers = await askAtOnce(30, "key-of-limited");
            const refused = answers.filter(({ status }) => status === 429);
            expect(refused.length).to.be.greaterThan(15);
            refused.forEach(({ headers }) => expect(Number(headers["retry-after"])).to.be.within(0.001, 5));
            expect(world.runs()).to.have.length(30 - refused.length);
            expect((await ask("/lookup/", { credential: "key-of-club" })).status).to.equal(200);
            expect(world.box.logLines.join("\n")).to.match(
                /event=request\.refused request=\S+ customer=limited refusal=quotaSpent/,
            );
        });

        it("serves again once quota is available", async () => {
            await configure([...tenants, limited]);
            await askAtOnce(30, "key-of-limited");
            await waitUntil(
                async () => (await ask("/lookup/", { credential: "key-of-limited" })).status === 200,
                "quota is available",
            );
        });

        it("refuses no pipelined burst within it that its share does not admit at once [P22]", async () => {
            await configure([...tenants, { name: "bursty", keys: ["key-of-bursty"], rate: 100, burst: 100 }]);
            await pause(startTime);
            const connection = openPipeline(world.box.callerAddress);
            const outcomes = await Promise.all(connection.send(Array.from({ length: 60 }, (_, index) => ({
                host: testHost,
                path: "/lookup/",
                requestId: `burst-${index}`,
                headers: { Credential: "key-of-bursty" },
            }))));
            connection.leave("close");
            expect(outcomes.map(outcome => outcome.kind === "answered" ? outcome.answer.status : outcome.kind))
                .to.deep.equal(outcomes.map(() => 200));
        });

        it("does not charge requests that no server ran", async () => {
            await configure([...tenants, limited]);
            world.misbehave({ kind: "shed" });
            const refusals = [];
            for (let count = 0; count < 20; count++) {
                refusals.push(await ask("/lookup/", { credential: "key-of-limited" }));
            }
            expect(new Set(refusals.map(({ status }) => status))).to.deep.equal(new Set([503]));
        });
    });
});
