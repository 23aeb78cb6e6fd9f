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
    const ask = (changes: Partial<AdmissionInputs> = {}) =>
        admit({
            routes,
            keys: createCustomerTable(configuration.access),
            isStateComplete: true,
            phase: "running",
            host: "app.example:80",
            path: "/climbs/3",
            key: undefined,
            configurationAge: milliseconds(0),
            bounds,
            ...changes,
        });

    it("gives the route with the longest prefix of the host", () => {
        expect(ask()).to.deep.equal({ kind: "admitted", route: configuration.routes[1], customer: undefined });
        expect(ask({ path: "/other" })).to.deep.equal({
            kind: "admitted",
            route: configuration.routes[0],
            customer: undefined,
        });
    });

    it("says that there is no route only with a configuration in force [P10]", () => {
        expect(ask({ host: "other.example" })).to.deep.equal({ kind: "refused", refusal: "noRoute" });
        for (const incomplete of [{ routes: undefined }, { isStateComplete: false }]) {
            expect(ask({ ...incomplete, host: "other.example" })).to.deep.equal({
                kind: "refused",
                refusal: "notReady",
            });
        }
    });

    it("takes new work while a box is leaving, and none once it is closing [P7]", () => {
        expect(ask({ phase: "leaving" }).kind).to.equal("admitted");
        expect(ask({ phase: "closing" })).to.deep.equal({ kind: "refused", refusal: "leaving" });
    });

    describe("with customers", () => {
        const keys = createCustomerTable({ kind: "customers", customers: [customer] });
        const outcome = (changes: Partial<AdmissionInputs>) => {
            const admission = ask({ keys, ...changes });
            return admission.kind === "refused" ? admission.refusal : admission.customer?.id ?? "nobody";
        };
        const known = customerKey("k-2");
        const unknown = customerKey("k-3");

        it("tells the customer by any of its keys [P21]", () => {
            expect(outcome({ key: customerKey("k-1") })).to.equal("club");
            expect(outcome({ key: known })).to.equal("club");
        });

        it("needs no key on a public route, and has no customer there", () => {
            expect(outcome({ path: "/open/1" })).to.equal("nobody");
            expect(outcome({ path: "/open/1", key: unknown })).to.equal("nobody");
            expect(outcome({ path: "/open/1", key: known })).to.equal("nobody");
        });

        for (
            const { age, copy, revocation, whenKnown, whenUnknown } of [
                { copy: "fresh", age: 0, whenKnown: "club", whenUnknown: "unknownKey" },
                { copy: "at the bound on changes", age: 3000, whenKnown: "club", whenUnknown: "unknownKey" },
                { copy: "older", age: 3001, whenKnown: "club", whenUnknown: "copyTooOld" },
                { copy: "never confirmed", age: 1e9, whenKnown: "club", whenUnknown: "copyTooOld" },
                { copy: "fresh and strict", age: 0, revocation: 5000, whenKnown: "club", whenUnknown: "unknownKey" },
                {
                    copy: "strict at its bound",
                    age: 5000,
                    revocation: 5000,
                    whenKnown: "club",
                    whenUnknown: "copyTooOld",
                },
                {
                    copy: "strict and older",
                    age: 5001,
                    revocation: 5000,
                    whenKnown: "copyTooOld",
                    whenUnknown: "copyTooOld",
                },
            ]
        ) {
            it(`by a copy that is ${copy}: known ${whenKnown}, unknown ${whenUnknown} [P21]`, () => {
                const inputs = {
                    configurationAge: milliseconds(age),
                    bounds: {
                        ...bounds,
                        maxKeyCopyAge: revocation === undefined ? undefined : milliseconds(revocation),
                    },
                };
                expect(outcome({ ...inputs, key: known })).to.equal(whenKnown);
                expect(outcome({ ...inputs, key: unknown })).to.equal(whenUnknown);
                expect(outcome({ ...inputs, key: undefined })).to.equal(whenUnknown);
            });
        }

        it("says that it isn't ready before any copy, whatever the key", () => {
            expect(outcome({ keys: undefined, key: known })).to.equal("notReady");
            expect(outcome({ isStateComplete: false, key: unknown })).to.equal("notReady");
        });

        it("lets no one in by a text that is no key [P21]", () => {
            fc.assert(fc.property(fc.string(), text => {
                fc.pre(!customer.keys.includes(customerKey(text)));
                expect(outcome({ key: customerKey(text) })).to.equal("unknownKey");
            }));
        });
    });
});

describe("homes of a request [P15]", () => {
    const homes = (ofRoute: readonly string[], ofCustomer: readonly string[] | undefined) => {
        const found = allowedRegionsOf(
            route("r", "/", { homeRegions: ofRoute.map(regionId) }),
            ofCustomer && { ...customer, homeRegions: ofCustomer.map(regionId) },
        );
        return found && [...found];
    };

    it("are those of the route, of the customer, or what both have in common", () => {
        expect(homes([], undefined)).to.equal(undefined);
        expect(homes([], [])).to.equal(undefined);
        expect(homes(["north"], undefined)).to.deep.equal(["north"]);
        expect(homes(["north", "south"], [])).to.deep.equal(["north", "south"]);
        expect(homes([], ["south"])).to.deep.equal(["south"]);
        expect(homes(["north", "south"], ["south", "west"])).to.deep.equal(["south"]);
        expect(homes(["north"], ["south"])).to.deep.equal([]);
    });
});
