/**
 * Branded ids and units. A brand keeps ids of different kinds apart at compile
 * time and has no representation at run time; nothing is validated.
 */

declare const brand: unique symbol;

type Branded<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Name of a region within a deployment. */
export type RegionId = Branded<string, "RegionId">;
/** Name of an availability zone, unique within a deployment. */
export type AvailabilityZoneId = Branded<string, "AvailabilityZoneId">;
/** Name of a service that backend servers offer. */
export type ServiceId = Branded<string, "ServiceId">;
/** Name of a customer: the party on whose behalf requests are sent and to which keys are issued. */
export type CustomerId = Branded<string, "CustomerId">;
/** Secret that identifies a caller's customer. Never logged, used as a metric label or sent to a server. */
export type CustomerKey = Branded<string, "CustomerKey">;
/** Name of a box. A replacement may have the same name. */
export type BoxId = Branded<string, "BoxId">;
/** One run of the box process, from its start to its end; a restart creates a new incarnation. */
export type IncarnationId = Branded<string, "IncarnationId">;
/** Name of a backend server. */
export type BackendServerId = Branded<string, "BackendServerId">;
/** Id of one answer that a server gave to a suspected poison request. */
export type AnswerId = Branded<string, "AnswerId">;
/** Hash of a request's content, regardless of its id: see the box's `fingerprintOf`. */
export type RequestFingerprint = Branded<string, "RequestFingerprint">;
/** One run of a backend server, from its start to its end. */
export type ServerIncarnationId = Branded<string, "ServerIncarnationId">;
/** Version of the software that a backend server runs. */
export type ServerVersion = Branded<string, "ServerVersion">;
/** Version of an object in the store of the settings tree; it only increases. */
export type ObjectVersion = Branded<number, "ObjectVersion">;
/** A duration, or a point on the monotonic clock, in milliseconds. */
export type Milliseconds = Branded<number, "Milliseconds">;

/** Brands a region's name. */
export const regionId = (text: string) => text as RegionId;
/** Brands an availability zone's name. */
export const availabilityZoneId = (text: string) => text as AvailabilityZoneId;
/** Brands a service's name. */
export const serviceId = (text: string) => text as ServiceId;
/** Brands a customer's name. */
export const customerId = (text: string) => text as CustomerId;
/** Brands a customer's key. */
export const customerKey = (text: string) => text as CustomerKey;
/** Brands a box's name. */
export const boxId = (text: string) => text as BoxId;
/** Brands the id of a box's incarnation. */
export const incarnationId = (text: string) => text as IncarnationId;
/** Brands a backend server's name. */
export const backendServerId = (text: string) => text as BackendServerId;
/** Brands the id of a backend server's incarnation. */
export const serverIncarnationId = (text: string) => text as ServerIncarnationId;
/** Brands an answer's id. */
export const answerId = (text: string) => text as AnswerId;
/** Brands a request's fingerprint. */
export const requestFingerprint = (text: string) => text as RequestFingerprint;
/** Brands the version of a server's software. */
export const serverVersion = (text: string) => text as ServerVersion;
/** Brands an object's version, a whole number. */
export const objectVersion = (value: number) => value as ObjectVersion;
/** Milliseconds since the Unix epoch by one box's wall clock; the wall clocks of two boxes may differ. */
export type UnixMilliseconds = Branded<number, "UnixMilliseconds">;

/** Brands a number of milliseconds since the Unix epoch. */
export const unixMilliseconds = (value: number) => value as UnixMilliseconds;

/** Brands a number of milliseconds. */
export const milliseconds = (value: number) => value as Milliseconds;
/** Converts seconds to milliseconds. */
export const seconds = (value: number) => (value * 1000) as Milliseconds;
