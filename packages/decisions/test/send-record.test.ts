import { backendServerId, boxId } from "@chalkdale/kernel";
import { expect } from "chai";
import { createSendRecord } from "../src/refusals/send-record.js";

describe("the sends of a request", () => {
    it("are described with their paths and what they were told", () => {
        const record = createSendRecord();
        expect(record.describe()).to.equal(undefined);
        const first = record.begin(backendServerId("i-1"), { kind: "connection", localPort: 40112 });
        const second = record.begin(backendServerId("i-2"), { kind: "box", box: boxId("box-2") });
        first.end({ kind: "notRun", status: 503 });
        first.end({ kind: "noAnswer", reason: "cancelled" });
        expect(record.describe()).to.equal("i-1@port 40112:not run, status 503;i-2@box box-2:unanswered");
        second.end({ kind: "notSent", reason: "unreachable" });
        expect(record.describe()).to.match(/;i-2@box box-2:not sent, unreachable$/);
    });
});
