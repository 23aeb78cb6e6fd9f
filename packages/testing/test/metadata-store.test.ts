import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createMetadataStore, type MetadataStore, type StoreAnswer } from "../src/standins/metadata-store.js";

describe("the stand-in for the platform's store", () => {
    let time = 0;
    let store: MetadataStore;

    beforeEach(() => {
        time = 0;
        store = createMetadataStore({ clock: () => milliseconds(time), pageSize: 2 });
    });

    it("lists by page", () => {
        ["c", "a", "b"].forEach(name => store.put("things", name, {}));
        const first = store.list("things");
        expect(itemsOf(first)).to.deep.equal(["a", "b"]);
        expect((first.body as { more: boolean; }).more).to.equal(true);
        expect(itemsOf(store.list("things", { after: "b" }))).to.deep.equal(["c"]);
    });

    it("writes under a condition, and gives the object on a conflict", () => {
        expect(store.create("things", { name: "a", spec: 1 }).status).to.equal(201);
        expect(store.create("things", { name: "a", spec: 2 }).status).to.equal(409);
        const conflict = store.replace("things", { name: "a", spec: 2, revision: 99 });
        expect([conflict.status, (conflict.body as { spec: number; }).spec]).to.deep.equal([409, 1]);
        expect(store.replace("things", { name: "a", spec: 2, revision: 1 }).status).to.equal(200);
    });

    it("keeps status and spec apart, and when an object was created", () => {
        store.put("things", "a", 1);
        expect(store.replaceStatus("things", { name: "a", status: "on", revision: 99 }).status).to.equal(409);
        expect(store.replaceStatus("things", { name: "a", status: "on", revision: 1 }).status).to.equal(200);
        store.put("things", "a", 2);
        expect(store.get("things", "a").body).to.deep.equal({
            metadata: { name: "a", revision: 3, made: 1 },
            spec: 2,
            status: "on",
        });
        expect(store.get("things", "b").status).to.equal(404);
        expect(store.replaceStatus("things", { name: "b", status: "on" }).status).to.equal(404);
    });

    it("raises no revision for a write that changes nothing", () => {
        store.create("things", { name: "a", spec: 1 });
        store.replace("things", { name: "a", spec: 1 });
        expect(store.revision()).to.equal(1);
    });

    it("answers a watch at the next change, at the end of its wait, or with 410", () => {
        const answers: StoreAnswer[] = [];
        store.watch("things", 0, milliseconds(100), answer => answers.push(answer));
        store.put("things", "a", {});
        expect((answers[0].body as { events: unknown[]; at: number; }).events).to.have.length(1);
        store.watch("things", 1, milliseconds(100), answer => answers.push(answer));
        time = 100;
        store.endExpiredWatches();
        expect((answers[1].body as { events: unknown[]; }).events).to.have.length(0);
        store.compact();
        store.watch("things", 0, milliseconds(100), answer => answers.push(answer));
        expect(answers[2].status).to.equal(410);
    });

    it("comes back from a copy, in a later epoch, and gives its revisions out again", () => {
        store.put("things", "a", 1);
        const copy = store.takeSnapshot();
        store.put("things", "b", 1);
        store.restore(copy);
        expect([store.epoch(), store.revision(), itemsOf(store.list("things"))]).to.deep.equal([1, 1, ["a"]]);
        const answers: StoreAnswer[] = [];
        store.watch("things", 2, milliseconds(100), answer => answers.push(answer));
        expect(answers[0].status).to.equal(410);
        store.put("things", "c", 1);
        expect(store.revision()).to.equal(2);
    });
});

function itemsOf(answer: StoreAnswer): string[] {
    const { items } = answer.body as { items: { metadata: { name: string; }; }[]; };
    return items.map(item => item.metadata.name);
}
