import { backendServerId, boxId, milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { createSlowStart } from "../src/index.js";

describe("slow start [P14]", () => {
    it("keeps all boxes together within the rate plus one request per sender", () => {
        const boxes = Array.from({ length: 80 }, (_, index) => boxId(`box-${index}`));
        const shares = boxes.map(self =>
            createSlowStart({ self, server: backendServerId("s-1"), boxes: () => boxes, rate: () => 14 })
        );
        const sent: number[] = [];
        for (let time = 0; time < 3000; time += 5) {
            const at = milliseconds(time);
            for (const share of shares) {
                if (share.allows(at)) {
                    share.onSent(at);
                    sent.push(time);
                }
            }
        }
        for (let start = 0; start < 2000; start += 50) {
            const inSecond = sent.filter(time => time >= start && time < start + 1000).length;
            expect(inSecond).to.be.within(8, 14 + 5);
        }
    });

    it("admits nothing from a box that is not among the possible senders", () => {
        const senders = ["a", "b", "c"].map(name => boxId(name));
        const others = Array.from({ length: 20 }, (_, index) => boxId(`box-${index}`));
        const shares = others.map(self =>
            createSlowStart({ self, server: backendServerId("s-1"), boxes: () => senders, rate: () => 14 })
        );
        expect(shares.filter(share => share.allows(milliseconds(0)))).to.deep.equal([]);
    });
});
