import { backendServerId, boxId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createSendRecord, type SendPath, type SendResult } from "../src/refusals/send-record.js";

const server = backendServerId("i-1");
const connection: SendPath = { kind: "connection", localPort: 40112 };
const throughBox: SendPath = { kind: "box", box: boxId("box-2") };
const notRun: SendResult = { kind: "notRun", status: 503 };
const notSent: SendResult = { kind: "notSent", reason: "unreachable" };

/** Returns the record of a request with these sends; undefined for one whose result is not known yet. */
function recordOf(...results: readonly (SendResult | undefined)[]) {
    const record = createSendRecord();
    for (const result of results) {
        const send = record.begin(server, connection);
        if (result !== undefined) {
            send?.end(result);
        }
    }
    return record;
}

describe("the sends of a request", () => {
    it("are described with their paths and what they were told", () => {
        const record = createSendRecord();
        expect(record.describe()).to.equal(undefined);
        const first = record.begin(server, connection);
        const second = record.begin(backendServerId("i-2"), throughBox);
        first?.end(notRun);
        first?.end({ kind: "noAnswer", reason: "cancelled" });
        expect(record.describe()).to.equal("i-1@port 40112:not run, status 503;i-2@box box-2:unanswered");
        second?.end(notSent);
        expect(record.describe()).to.match(/;i-2@box box-2:not sent, unreachable$/);
    });

    it("prove that it has not run if there are none, or each one was answered so or withdrawn [P4]", () => {
        expect(recordOf().proveNotRun()).not.to.equal(undefined);
        expect(recordOf(notRun, notSent, notRun).proveNotRun()).not.to.equal(undefined);
    });

    const otherResults: readonly (SendResult | undefined)[] = [
        undefined,
        { kind: "answered", status: 503 },
        { kind: "answered", status: 200 },
        { kind: "noAnswer", reason: "reset" },
    ];
    for (const other of otherResults) {
        it(`prove nothing if one of them ended in another way (${other?.kind ?? "unanswered"}) [P4]`, () => {
            expect(recordOf(notRun, other).proveNotRun()).to.equal(undefined);
            expect(recordOf(other, notRun).proveNotRun()).to.equal(undefined);
        });
    }

    it("end with the proof that it has not run [P4]", () => {
        const record = recordOf(notRun);
        record.proveNotRun();
        expect(record.begin(server, connection)).to.equal(undefined);
        expect(record.begin(server, throughBox)).to.equal(undefined);
    });

    it("go on after a proof was not given", () => {
        const record = createSendRecord();
        const send = record.begin(server, connection);
        expect(record.proveNotRun()).to.equal(undefined);
        send?.end(notRun);
        expect(record.begin(server, connection)).not.to.equal(undefined);
    });
});
