import { customerId, customerKey, milliseconds, regionId, serviceId } from "@chalkdale/kernel";
import { expect } from "chai";
import fc from "fast-check";
import {
    type AdmissionInputs,
    admit,
    allowedRegionsOf,
    type Configuration,
    createCustomerTable,
    createRouteTable,
    type Customer,
    type Route,
} from "../src/index.js";

const route = (name: string, pathPrefix: string, changes: Partial<Route> = {}): Route => ({
    name,
    host: "app.example",
    pathPrefix,
    kind: "safe",
    destinations: [{ service: serviceId("profiles"), weight: 1 }],
    goal: milliseconds(400),
    timeout: milliseconds(1500),
    maxAttempts: 2,
    priority: 1,
    sticky: true,
    homeRegions: [],
    isPublic: false,
    ...changes,
});
const customer: Customer = {
    id: customerId("club"),
    keys: [customerKey("k-1"), customerKey("k-2")],
    priority: 1,
    quota: undefined,
    homeRegions: [],
};
const configuration: Configuration = {
    version: 1,
    routes: [route("all", "/"), route("climbs", "/climbs/"), route("open", "/open/", { isPublic: true })],
    services: [],
    limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1000,
        headerTimeout: milliseconds(3000),
        idleTimeout: milliseconds(15_000),
    },
    access: { kind: "anyone" },
};
const bounds = { maxPropagationDelay: milliseconds(3000), maxKeyCopyAge: undefined };

describe("admission", () => {
    const routes = createRouteTable(configuration);
    const admitWith = (changes: Partial<AdmissionInputs> = {}) =>
        admit({
            routes,
            keys: createCustomerTable(configuration.access),
            isStateComplete: true,
            phase: "running",
            timeToAnswer: milliseconds(1000),
            callerTimeout: Number.NaN,
            expectedWork: () => milliseconds(300),
            host: "app.example:80",
            path: "/climbs/3",
            key: undefined,
            configurationAge: milliseconds(0),
            bounds,
            ...changes,
        });

    it("finds the route of the host with the longest matching prefix", () => {
        expect(admitWith()).to.deep.equal({ kind: "admitted", route: configuration.routes[1], customer: undefined });
        expect(admitWith({ path: "/other" })).to.deep.equal({
            kind: "admitted",
            route: configuration.routes[0],
            customer: undefined,
        });
    });

    it("refuses with noRoute only with a configuration in force [P10]", () => {
        expect(admitWith({ host: "other.example" })).to.deep.equal({ kind: "refused", refusal: "noRoute" });
        for (const incomplete of [{ routes: undefined }, { isStateComplete: false }]) {
            expect(admitWith({ ...incomplete, host: "other.example" })).to.deep.equal({
                kind: "refused",
                refusal: "notReady",
            });
        }
    });

    it("admits new requests while a box is leaving, and none that may outlast it once it is closing [P7]", () => {
        expect(admitWith({ phase: "leaving" }).kind).to.equal("admitted");
        expect(admitWith({ phase: "closing" })).to.deep.equal({ kind: "refused", refusal: "leaving" });
        expect(admitWith({ phase: "closing", callerTimeout: 1001 }).kind).to.equal("refused");
        expect(admitWith({ phase: "closing", callerTimeout: 1000 }).kind).to.equal("admitted");
    });

    describe("with customers", () => {
        const keys = createCustomerTable({ kind: "customers", customers: [customer] });
        const outcome = (changes: Partial<AdmissionInputs>) => {
            const admission = admitWith({ keys, ...changes });
            return admission.kind === "refused" ? admission.refusal : admission.customer?.id ?? "nobody";
        };
        const known = customerKey("k-2");
        const unknown = customerKey("k-3");

        it("identifies the customer by any of its keys [P21]", () => {
            expect(outcome({ key: customerKey("k-1") })).to.equal("club");
            expect(outcome({ key: known })).to.equal("club");
        });

        it("requires no key on a public route, and finds no customer there", () => {
            expect(outcome({ path: "/open/1" })).to.equal("nobody");
            expect(outcome({ path: "/open/1", key: unknown })).to.equal("nobody");
            expect(outcome({ path: "/open/1", key: known })).to.equal("nobody");
        });

        for (
            const { age, copy, maxKeyCopyAge, whenKnown, whenUnknown } of [
                { copy: "fresh", age: 0, whenKnown: "club", whenUnknown: "unknownKey" },
                { copy: "at the bound on changes", age: 3000, whenKnown: "club", whenUnknown: "unknownKey" },
                { copy: "older", age: 3001, whenKnown: "club", whenUnknown: "copyTooOld" },
                { copy: "never confirmed", age: 1e9, whenKnown: "club", whenUnknown: "copyTooOld" },
                { copy: "fresh and strict", age: 0, maxKeyCopyAge: 5000, whenKnown: "club", whenUnknown: "unknownKey" },
                {
                    copy: "strict at its bound",
                    age: 5000,
                    maxKeyCopyAge: 5000,
                    whenKnown: "club",
                    whenUnknown: "copyTooOld",
                },
                {
                    copy: "strict and older",
                    age: 5001,
                    maxKeyCopyAge: 5000,
                    whenKnown: "copyTooOld",
                    whenUnknown: "copyTooOld",
                },
            ]
        ) {
            it(`with a copy that is ${copy}: known key ${whenKnown}, unknown key ${whenUnknown} [P21]`, () => {
                const inputs = {
                    configurationAge: milliseconds(age),
                    bounds: {
                        ...bounds,
                        maxKeyCopyAge: maxKeyCopyAge === undefined ? undefined : milliseconds(maxKeyCopyAge),
                    },
                };
                expect(outcome({ ...inputs, key: known })).to.equal(whenKnown);
                expect(outcome({ ...inputs, key: unknown })).to.equal(whenUnknown);
                expect(outcome({ ...inputs, key: undefined })).to.equal(whenUnknown);
            });
        }

        it("refuses with notReady before the first copy, whatever the key", () => {
            expect(outcome({ keys: undefined, key: known })).to.equal("notReady");
            expect(outcome({ isStateComplete: false, key: unknown })).to.equal("notReady");
        });

        it("admits no request with a text that is not a key [P21]", () => {
            fc.assert(fc.property(fc.string(), text => {
                fc.pre(!customer.keys.includes(customerKey(text)));
                expect(outcome({ key: customerKey(text) })).to.equal("unknownKey");
            }));
        });
    });
});

describe("allowed regions of a request [P15]", () => {
    const allowedRegions = (ofRoute: readonly string[], ofCustomer: readonly string[] | undefined) => {
        const found = allowedRegionsOf(
            route("r", "/", { homeRegions: ofRoute.map(regionId) }),
            ofCustomer && { ...customer, homeRegions: ofCustomer.map(regionId) },
        );
        return found && [...found];
    };

    it("are the home regions of the route, of the customer, or those that both have in common", () => {
        expect(allowedRegions([], undefined)).to.equal(undefined);
        expect(allowedRegions([], [])).to.equal(undefined);
        expect(allowedRegions(["north"], undefined)).to.deep.equal(["north"]);
        expect(allowedRegions(["north", "south"], [])).to.deep.equal(["north", "south"]);
        expect(allowedRegions([], ["south"])).to.deep.equal(["south"]);
        expect(allowedRegions(["north", "south"], ["south", "west"])).to.deep.equal(["south"]);
        expect(allowedRegions(["north"], ["south"])).to.deep.equal([]);
    });
});
