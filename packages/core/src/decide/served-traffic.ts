/**
 * What a service's zones are sent, by this box and by all, and how warm that
 * keeps their caches.
 */

import { type Milliseconds, milliseconds, type ServiceId } from "../kernel/ids.js";
import type { CompiledService, CompiledSettings } from "../settings/compiled.js";
import type { ServedTraffic, ZoneSummary } from "../state/traffic.js";
import { createRateMeter, type RateMeter } from "./rate-meter.js";
import { createWarmth, type Warmth } from "./warmth.js";

/** Measured traffic of one box. */
export interface ServedMeasure {
    /** Notes that a request was sent to a zone. */
    readonly sent: (service: CompiledService, zone: number) => void;
    /** Closes the interval since the last sample for all services of the settings. */
    readonly sample: (settings: CompiledSettings, heard: readonly ZoneSummary[], at: Milliseconds) => void;
    /** Returns requests per second by zone: this box's own and those of the summaries heard. */
    readonly rates: (service: CompiledService, heard: readonly ZoneSummary[]) => Float64Array;
    /**
     * Returns the warmth of a service's caches by zone. At first a place counts as warm by the part
     * that it has in the traffic, as `shares` gives it.
     */
    readonly warmth: (service: CompiledService, shares: () => Float64Array, at: Milliseconds) => Float64Array;
    /** Returns what this box sent, for others. */
    readonly own: () => readonly ServedTraffic[];
    /** Forgets everything, for settings with other zones. */
    readonly clear: () => void;
}

interface ServiceMeasure {
    readonly service: CompiledService;
    readonly meters: readonly RateMeter[];
    warmth: Warmth | undefined;
}

/** Creates measures at zero. */
export function createServedMeasure(startedAt: Milliseconds): ServedMeasure {
    const measures = new Map<ServiceId, ServiceMeasure>();

    return {
        sent: (service, zone) => measureOf(service).meters[zone]?.add(1),
        sample(settings, heard, at) {
            for (const service of settings.services.values()) {
                const { meters, warmth } = measureOf(service);
                meters.forEach(meter => meter.sample(at));
                warmth?.note(rates(service, heard), at);
            }
        },
        rates,
        warmth(service, shares, at) {
            const measure = measureOf(service);
            measure.warmth ??= createWarmth(shares(), milliseconds(service.values.warmUp * 1000), at);
            return measure.warmth.values;
        },
        own: () => [...measures.values()].flatMap(ownTraffic),
        clear: () => measures.clear(),
    };

    function measureOf(service: CompiledService): ServiceMeasure {
        let measure = measures.get(service.id);
        if (measure === undefined) {
            measure = { service, meters: service.zones.map(() => createRateMeter(startedAt)), warmth: undefined };
            measures.set(service.id, measure);
        }
        return measure;
    }

    function rates(service: CompiledService, heard: readonly ZoneSummary[]): Float64Array {
        const sums = Float64Array.from(measureOf(service).meters, meter => meter.rate());
        for (const { service: name, zone, rate } of heard.flatMap(summary => summary.served)) {
            const index = name === service.id ? service.zones.findIndex(place => place.zone.id === zone) : -1;
            if (index >= 0) {
                sums[index] += rate;
            }
        }
        return sums;
    }
}

function ownTraffic({ service, meters }: ServiceMeasure): ServedTraffic[] {
    return meters
        .map((meter, index) => ({ service: service.id, zone: service.zones[index].zone.id, rate: meter.rate() }))
        .filter(traffic => traffic.rate > 0);
}
