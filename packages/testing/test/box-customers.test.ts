/**
 * One box whose callers have keys, over real sockets: who is let in, and what of
 * it reaches the servers.
 */

import { expect } from "chai";
import fc from "fast-check";
import type { ClientRequest } from "../src/standins/client.js";
import { waitUntil } from "../src/standins/deployment.js";
import type { TenantOptions } from "../src/standins/platform-objects.js";
import { type OneBox, rules, startOneBox } from "./one-box.js";

const tenants: readonly TenantOptions[] = [
    { name: "club", keys: ["key-of-club", "second-key-of-club"] },
    { name: "southern", keys: ["key-of-southern"], homeRegions: ["south"] },
];

describe("a box whose callers have keys", () => {
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
        await waitUntil(() => world.box.logLines.some(line => line.includes(`version=${version}`)), "it is in force");
        await waitUntil(async () => (await ask("/lookup/")).status === 401, "the copy is confirmed");
    }

    const ask = (path: string, options?: Partial<ClientRequest>) => world.ask(path, options);

    it("tells the server the customer, and never the key [P21]", async () => {
        expect((await ask("/lookup/", { credential: "second-key-of-club" })).status).to.equal(200);
        const [{ headers }] = world.runs();
        expect(headers.tenant).to.equal("club");
        expect(headers).not.to.have.property("credential");
    });

    it("takes off what the caller wrote as customer, on public routes too [P21]", async () => {
        const forged = { extraHeaders: { Tenant: "southern", Connection: "tenant" } };
        await ask("/lookup/", { credential: "key-of-club", ...forged });
        await ask("/open/", { ...forged });
        await ask("/open/", { credential: "key-of-club", extraHeaders: { Tenant: "southern" } });
        expect(world.runs().map(run => run.headers.tenant)).to.deep.equal(["club", undefined, undefined]);
        expect(world.runs().map(run => run.headers.credential)).to.deep.equal([undefined, undefined, undefined]);
    });

    it("lets no one in without a key, with an unknown one, or with two [P21]", async () => {
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

    it("lets no one in whatever is sent as a key, and goes on [P21]", async () => {
        const text = fc.stringMatching(/^[\x21-\x7e]{0,60}$/);
        await fc.assert(
            fc.asyncProperty(text, async credential => {
                expect((await ask("/lookup/", { credential })).status).to.equal(401);
            }),
            { numRuns: 30 },
        );
        expect((await ask("/lookup/", { credential: "key-of-club" })).status).to.equal(200);
    });

    it("no longer honours a key that was taken away, and honours one that was passed on [P21]", async () => {
        await configure([{ name: "club", keys: ["second-key-of-club"] }, { name: "other", keys: ["key-of-club"] }]);
        expect((await ask("/lookup/", { credential: "key-of-southern" })).status).to.equal(401);
        expect((await ask("/lookup/", { credential: "key-of-club" })).status).to.equal(200);
        expect(world.runs().at(-1)?.headers.tenant).to.equal("other");
    });

    it("serves a customer in its homes only [P15]", async () => {
        for (let key = 0; key < 12; key++) {
            await ask("/lookup/", { affinityKey: `k-${key}`, credential: "key-of-southern" });
        }
        expect(world.first.runs).to.have.length(0);
        expect(world.second.runs).to.have.length(12);
    });

    it("writes no key into its log [P21]", async () => {
        await ask("/lookup/", { credential: "key-of-club" });
        await ask("/lookup/", { credential: "nobody's" });
        world.misbehave({ kind: "shed" });
        await ask("/save/", { credential: "key-of-club", method: "POST" });
        const text = world.box.logLines.join("\n");
        expect(text).to.include("customer=club").and.include("refusal=unknownKey").and.include("refusal=serversFull");
        expect(text).not.to.match(/key-of|nobody's/);
    });

    it("does not deny a key for good while its copy is too old to know [P21]", async () => {
        world.deployment.storeServer.close();
        await waitUntil(
            async () => (await ask("/lookup/", { credential: "nobody's" })).status === 503,
            "the copy is old",
        );
        expect((await ask("/lookup/", { credential: "key-of-club" })).status).to.equal(200);
    });

    describe("with a quota", () => {
        const limited = { name: "limited", keys: ["key-of-limited"], rate: 2, burst: 3 };
        const askTimes = async (count: number, credential: string) =>
            Promise.all(Array.from({ length: count }, () => ask("/lookup/", { credential })));

        it("refuses what goes beyond it, unrun, with the time to come back, and no other customer [P22]", async () => {
            await configure([...tenants, limited]);
            const answers = await askTimes(30, "key-of-limited");
            const refused = answers.filter(({ status }) => status === 429);
            expect(refused.length).to.be.greaterThan(15);
            refused.forEach(({ headers }) => expect(Number(headers["retry-after"])).to.be.within(0.001, 5));
            expect(world.runs()).to.have.length(30 - refused.length);
            expect((await ask("/lookup/", { credential: "key-of-club" })).status).to.equal(200);
            expect(world.box.logLines.join("\n")).to.match(
                /event=request\.refused request=\S+ customer=limited refusal=quotaSpent/,
            );
        });

        it("serves again once there is room", async () => {
            await configure([...tenants, limited]);
            await askTimes(30, "key-of-limited");
            await waitUntil(
                async () => (await ask("/lookup/", { credential: "key-of-limited" })).status === 200,
                "there is room",
            );
        });

        it("does not count what no server ran", async () => {
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
