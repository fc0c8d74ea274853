import {FescuewickError, ResultCode} from '@fescuewick/core';
import {
	MessageType, type DomainLoad, type DomainLoadsBody, type LoadReportBody,
} from './messages.js';
import {type LoadEntry} from './records.js';

/** Rates travel as whole hundredths; fractions would take nine bytes each. */
const ratePrecision = 100;

type PackedEntry = [service: string, capacity: number, load: number, ageMs: number, bytesPerRequest: number, cold?: boolean];
type PackedDomain = [failureDomain: string, region: string, entries: PackedEntry[], source?: number, sequence?: number, vms?: number];

/** Turns the body of a load message into its form in a frame, with fields by position; other bodies are returned as they are. */
export function packBody(type: MessageType, body: unknown): unknown {
	if (type === MessageType.loadReport) {
		return packReport(body as LoadReportBody);
	}

	if (type === MessageType.domainLoads) {
		const {sums} = body as DomainLoadsBody;
		return sums.map((sum): PackedDomain => [sum.failureDomain, sum.region, sum.entries.map(entry => packEntry(entry)), sum.source, sum.sequence, sum.vms]);
	}

	return body;
}

/** Reads what `packBody` made; throws `frameMalformed`. */
export function unpackBody(type: MessageType, value: unknown): unknown {
	if (type === MessageType.loadReport) {
		return {entries: domainsOf(value).flatMap(domain => unpackEntries(domain))} satisfies LoadReportBody;
	}

	if (type === MessageType.domainLoads) {
		return {sums: domainsOf(value).map(domain => unpackSum(domain))} satisfies DomainLoadsBody;
	}

	return value;
}

function packReport({entries}: LoadReportBody): PackedDomain[] {
	const domains = new Map<string, PackedDomain>();
	for (const entry of entries) {
		const domain = domains.get(entry.failureDomain) ?? [entry.failureDomain, entry.region, []];
		domain[2].push(packEntry(entry));
		domains.set(entry.failureDomain, domain);
	}

	return [...domains.values()];
}

function packEntry({service, capacityPerS, loadPerS, ageMs, bytesPerRequest, cold}: LoadEntry): PackedEntry {
	const packed: PackedEntry = [service, Math.round(capacityPerS * ratePrecision), Math.round(loadPerS * ratePrecision), Math.ceil(ageMs), Math.round(bytesPerRequest)];
	if (cold) {
		packed.push(true);
	}

	return packed;
}

function unpackEntries([failureDomain, region, entries]: PackedDomain): LoadEntry[] {
	return entries.map(([service, capacity, load, ageMs, bytesPerRequest, cold = false]) => ({
		service, failureDomain, region, capacityPerS: capacity / ratePrecision, loadPerS: load / ratePrecision, cold, bytesPerRequest, ageMs,
	}));
}

function unpackSum(domain: PackedDomain): DomainLoad {
	const [failureDomain, region, , source = 0, sequence = 0, vms = 0] = domain;
	return {
		failureDomain, region, source, sequence, vms, entries: unpackEntries(domain),
	};
}

function domainsOf(value: unknown): PackedDomain[] {
	const isDomain = (item: unknown) => Array.isArray(item) && typeof item[0] === 'string' && Array.isArray(item[2]) && item[2].every(entry => Array.isArray(entry));
	if (!Array.isArray(value) || !value.every(item => isDomain(item))) {
		throw new FescuewickError(ResultCode.frameMalformed, 'load message is not an array of failure domains with their entries');
	}

	return value as PackedDomain[];
}
