/**
 * Branded ids and units. A brand exists only for the compiler.
 */

declare const brand: unique symbol;

type Branded<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Name of a region within a deployment. */
export type RegionId = Branded<string, "RegionId">;
/** Name of an availability zone, unique within a deployment. */
export type AvailabilityZoneId = Branded<string, "ZoneId">;
/** Name of a service that backend servers offer. */
export type ServiceId = Branded<string, "ServiceId">;
/** Name of a customer: who asks, and for whom a key was given out. */
export type CustomerId = Branded<string, "CustomerId">;
/** Secret by which a caller shows whose customer it is. Never logged, counted or sent to a server. */
export type CustomerKey = Branded<string, "CustomerKey">;
/** Name of an entry box. A replacement may carry the same name. */
export type BoxId = Branded<string, "BoxId">;
/** One life of a process on a box; a restart draws a new one. */
export type IncarnationId = Branded<string, "IncarnationId">;
/** Name of a backend server. */
export type BackendServerId = Branded<string, "ServerId">;
/** One answer of a server to a request under which others ended. */
export type AnswerId = Branded<string, "AnswerId">;
/** What a request asks for, whatever its id: see the box's `fingerprintOf`. */
export type RequestFingerprint = Branded<string, "RequestFingerprint">;
/** One life of a backend server, from a start to its end. */
export type ServerIncarnationId = Branded<string, "ServerLife">;
/** Version of the software that a backend server runs. */
export type ServerVersion = Branded<string, "ServerVersion">;
/** Version of an object in the store of the settings tree; only ever goes up. */
export type ObjectVersion = Branded<number, "ObjectVersion">;
/** A duration, or a point on the monotonic clock, in milliseconds. */
export type Milliseconds = Branded<number, "Milliseconds">;

/** Takes a text as a region's name. */
export const regionId = (text: string) => text as RegionId;
/** Takes a text as an availability zone's name. */
export const availabilityZoneId = (text: string) => text as AvailabilityZoneId;
/** Takes a text as a service's name. */
export const serviceId = (text: string) => text as ServiceId;
/** Takes a text as a customer's name. */
export const customerId = (text: string) => text as CustomerId;
/** Takes a text as a customer's key. */
export const customerKey = (text: string) => text as CustomerKey;
/** Takes a text as an entry box's name. */
export const boxId = (text: string) => text as BoxId;
/** Takes a text as an incarnation. */
export const incarnationId = (text: string) => text as IncarnationId;
/** Takes a text as a backend server's name. */
export const backendServerId = (text: string) => text as BackendServerId;
/** Takes a text as a life of a backend server. */
export const serverIncarnationId = (text: string) => text as ServerIncarnationId;
/** Takes a text as the name of an answer. */
export const answerId = (text: string) => text as AnswerId;
/** Takes a text as a request's fingerprint. */
export const requestFingerprint = (text: string) => text as RequestFingerprint;
/** Takes a text as the version of a server's software. */
export const serverVersion = (text: string) => text as ServerVersion;
/** Takes a whole number as an object's version. */
export const objectVersion = (value: number) => value as ObjectVersion;
/** Milliseconds since the beginning of 1970 by some box's clock of the day; those of two boxes may differ. */
export type UnixMilliseconds = Branded<number, "UnixMilliseconds">;

/** Takes a number as milliseconds since the beginning of 1970. */
export const unixMilliseconds = (value: number) => value as UnixMilliseconds;

/** Takes a number as milliseconds. */
export const milliseconds = (value: number) => value as Milliseconds;
/** Turns seconds into milliseconds. */
export const seconds = (value: number) => (value * 1000) as Milliseconds;
