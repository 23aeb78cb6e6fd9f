import { milliseconds } from "@chalkdale/kernel";
import { expect } from "chai";
import { type BodyAccount, type BodyMemory, bodyMemoryLimit, createBodyMemory } from "../src/index.js";

const most = 1_000_000;
const at = (time: number) => milliseconds(time);

describe("the memory of request bodies", () => {
    let memory: BodyMemory;
    let events: string[];

    beforeEach(() => {
        memory = createBodyMemory(most);
        events = [];
    });

    function open(name: string, time = 0): BodyAccount {
        const account = memory.open(at(time));
        account.onResume = () => events.push(`${name} turns`);
        account.onStalled = () => events.push(`${name} stalls`);
        return account;
    }

    it("is an eighth of the box's limit", () => {
        expect(bodyMemoryLimit(250_000_000)).to.equal(31_250_000);
    });

    it("lets all read below the bound, and the oldest beyond it", () => {
        const [first, second] = [open("first"), open("second")];
        first.recordReceived(most / 2, most / 2, at(1));
        expect([first.mayRead(), second.mayRead()]).to.deep.equal([true, true]);
        second.recordReceived(most / 2, most / 2, at(1));
        expect([first.mayRead(), second.mayRead()]).to.deep.equal([true, false]);
        expect(memory.waitingCount()).to.equal(1);
    });

    it("hands the turn on once memory is given back, and counts it once", () => {
        const [first, second] = [open("first"), open("second")];
        first.recordReceived(most, most, at(1));
        first.markComplete();
        second.recordReceived(1, most, at(1));
        const third = open("third");
        expect([second.mayRead(), third.mayRead()]).to.deep.equal([true, false]);
        first.close(at(2));
        first.close(at(2));
        second.close(at(3));
        expect(events).to.deep.equal(["third turns"]);
        expect(memory.held()).to.equal(0);
    });

    it("hands the turn to the next of the unfinished when the oldest is whole", () => {
        const [first, second] = [open("first"), open("second")];
        first.recordReceived(most, most, at(1));
        expect(second.mayRead()).to.equal(false);
        first.markComplete();
        memory.sweep(at(2));
        expect(events).to.deep.equal(["second turns"]);
    });

    it("ends a body that hardly comes on while others wait, and only then", () => {
        const first = open("first");
        first.recordReceived(most, most, at(0));
        memory.sweep(at(5000));
        expect(events).to.deep.equal([]);
        const second = open("second", 5000);
        second.mayRead();
        first.recordReceived(most + 4095, most + 4095, at(5000));
        memory.sweep(at(5001));
        expect(events).to.deep.equal(["first stalls", "second turns"]);
    });

    it("never lets a short body wait", () => {
        open("first").recordReceived(most, most, at(0));
        const second = open("second");
        expect([second.mayRead(4096), second.mayRead(4097)]).to.deep.equal([true, false]);
    });

    it("lets only so many wait as hold as much as all bodies may with what came with their heads", () => {
        open("first").recordReceived(most, most, at(0));
        for (let count = 0; count <= most / 65_536; count++) {
            expect(memory.mayWait()).to.equal(true);
            open("waiting").mayRead();
        }
        expect(memory.mayWait()).to.equal(false);
    });

    it("gives no more turns at once than what they may bring has room for", () => {
        const first = open("first");
        first.recordReceived(most, most, at(0));
        const others = Array.from({ length: 14 }, (_, index) => open(String(index)));
        others.forEach(other => other.mayRead());
        first.recordReceived(most, most - 200_000, at(0));
        memory.sweep(at(1));
        expect(events).to.deep.equal(["0 turns", "1 turns", "2 turns", "3 turns"]);
        memory.sweep(at(2));
        expect(events).to.have.length(4);
    });

    it("leaves a body that comes on its time, and one whose turn has just come", () => {
        const [first, second] = [open("first"), open("second")];
        first.recordReceived(most, most, at(900));
        expect(second.mayRead()).to.equal(false);
        memory.sweep(at(1000));
        expect(events).to.deep.equal([]);
        first.close(at(1100));
        open("third", 1100).recordReceived(most, most, at(1100));
        memory.sweep(at(1200));
        expect(events).to.deep.equal(["second turns"]);
    });
});
