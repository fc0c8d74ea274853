import {FescuewickError, ResultCode} from '@fescuewick/core';
import {
	MessageType, type DomainLoad, type DomainLoadsBody, type LoadReportBody,
} from './messages.js';
import {type LoadEntry} from './records.js';

/** Rates are sent as integers in hundredths of a request per second; floating-point values would take nine bytes each. */
const rateScale = 100;

type PackedLoadEntry = [service: string, capacity: number, load: number, ageMs: number, bytesPerRequest: number, cold?: boolean];
type PackedDomainLoad = [failureDomain: string, region: string, entries: PackedLoadEntry[], source?: number, sequence?: number, vms?: number];

/** Encodes the body of a load message as arrays with fields by position; returns other bodies unchanged. */
export function packBody(type: MessageType, body: unknown): unknown {
	if (type === MessageType.loadReport) {
		return packReport(body as LoadReportBody);
	}

	if (type === MessageType.domainLoads) {
		const {sums} = body as DomainLoadsBody;
		return sums.map((sum): PackedDomainLoad => [sum.failureDomain, sum.region, sum.entries.map(entry => packEntry(entry)), sum.source, sum.sequence, sum.vms]);
	}

	return body;
}

/** Inverse of `packBody`; throws `frameMalformed`. */
export function unpackBody(type: MessageType, value: unknown): unknown {
	if (type === MessageType.loadReport) {
		return {entries: parsePackedDomains(value).flatMap(domain => unpackEntries(domain))} satisfies LoadReportBody;
	}

	if (type === MessageType.domainLoads) {
		return {sums: parsePackedDomains(value).map(domain => unpackSum(domain))} satisfies DomainLoadsBody;
	}

	return value;
}

function packReport({entries}: LoadReportBody): PackedDomainLoad[] {
	const domains = new Map<string, PackedDomainLoad>();
	for (const entry of entries) {
		const domain = domains.get(entry.failureDomain) ?? [entry.failureDomain, entry.region, []];
		domain[2].push(packEntry(entry));
		domains.set(entry.failureDomain, domain);
	}

	return [...domains.values()];
}

function packEntry({service, capacityPerS, loadPerS, ageMs, bytesPerRequest, cold}: LoadEntry): PackedLoadEntry {
	const packed: PackedLoadEntry = [service, Math.round(capacityPerS * rateScale), Math.round(loadPerS * rateScale), Math.ceil(ageMs), Math.round(bytesPerRequest)];
	if (cold) {
		packed.push(true);
	}

	return packed;
}

function unpackEntries([failureDomain, region, entries]: PackedDomainLoad): LoadEntry[] {
	return entries.map(([service, capacity, load, ageMs, bytesPerRequest, cold = false]) => ({
		service, failureDomain, region, capacityPerS: capacity / rateScale, loadPerS: load / rateScale, cold, bytesPerRequest, ageMs,
	}));
}

function unpackSum(domain: PackedDomainLoad): DomainLoad {
	const [failureDomain, region, , source = 0, sequence = 0, vms = 0] = domain;
	return {
		failureDomain, region, source, sequence, vms, entries: unpackEntries(domain),
	};
}

function parsePackedDomains(value: unknown): PackedDomainLoad[] {
	const isDomain = (item: unknown) => Array.isArray(item) && typeof item[0] === 'string' && Array.isArray(item[2]) && item[2].every(entry => Array.isArray(entry));
	if (!Array.isArray(value) || !value.every(item => isDomain(item))) {
		throw new FescuewickError(ResultCode.frameMalformed, 'load message is not an array of failure domains with their entries');
	}

	return value as PackedDomainLoad[];
}
