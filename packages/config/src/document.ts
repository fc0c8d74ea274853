import {z} from 'zod';

/** Whether a request of a class may be executed more than once. */
export enum Safety {
	repeatable = 'repeatable',
	atMostOnce = 'at-most-once',
}

/** Whether a route requires a key (`keyed`) or not (`open`). */
export enum Access {
	keyed = 'keyed',
	open = 'open',
}

/** Kinds of objects that can be drained. */
export enum DrainKind {
	failureDomain = 'failure-domain',
	vm = 'vm',
	/** A backend server. */
	server = 'server',
}

/** Default maximum time since the keys were last confirmed as current during which keyed requests are served, in milliseconds, by safety. */
export const defaultStaleKeysServeMs: Readonly<Record<Safety, number>> = {
	[Safety.atMostOnce]: 5000,
	[Safety.repeatable]: 10_000,
};

const nameSchema = z.string().regex(/^[a-z\d](?:[a-z\d-]{0,62}[a-z\d])?$/, 'must be 1 to 64 lower-case letters, digits and hyphens');
const durationMsSchema = z.int().positive().max(3_600_000);

const classSchema = z.strictObject({
	name: nameSchema,
	latenessTargetMs: durationMsSchema,
	deadlineMs: durationMsSchema,
	safety: z.enum(Safety),
	staleKeysServeMs: z.int().min(0).max(86_400_000).optional(),
	repeatWindowMs: z.int().min(1000).max(30 * 86_400_000).default(86_400_000),
}).refine(value => value.latenessTargetMs <= value.deadlineMs, {error: 'latenessTargetMs must not exceed deadlineMs', path: ['latenessTargetMs']});

const routeSchema = z.strictObject({
	method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
	pathPrefix: z.string().startsWith('/').max(512),
	class: nameSchema,
	access: z.enum(Access).default(Access.keyed),
});

const serviceSchema = z.strictObject({name: nameSchema, routes: z.array(routeSchema).min(1)});

const workspaceSchema = z.strictObject({
	name: nameSchema,
	ratePerS: z.number().positive().max(10_000_000),
	burst: z.number().min(1).max(100_000_000),
});

const keySchema = z.strictObject({
	id: nameSchema,
	workspace: nameSchema,
	sha256: z.string().regex(/^[\da-f]{64}$/, 'must be a SHA-256 in lower-case hexadecimal'),
});

const drainSchema = z.strictObject({kind: z.enum(DrainKind), name: z.string().min(1).max(128)});

const shiftCapSchema = z.strictObject({
	service: nameSchema,
	maxPercent: z.number().min(0).max(100),
	maxPercentPerMinute: z.number().positive().max(100),
});

/** Schema of the configuration document; `checkReferences` checks references between its objects. */
export const documentSchema = z.strictObject({
	classes: z.array(classSchema).min(1),
	services: z.array(serviceSchema).min(1),
	workspaces: z.array(workspaceSchema).default([]),
	keys: z.array(keySchema).default([]),
	drains: z.array(drainSchema).default([]),
	shiftCaps: z.array(shiftCapSchema).default([]),
});

/** The configuration as written by operators. */
export type ConfigurationDocument = z.output<typeof documentSchema>;
/** A request class with its lateness target and deadline. */
export type ClassSettings = ConfigurationDocument['classes'][number];
/** A service with its routes. */
export type ServiceSettings = ConfigurationDocument['services'][number];
/** A route of a service. */
export type RouteSettings = ServiceSettings['routes'][number];
/** A workspace with its rate limit: requests per second and burst in requests. */
export type WorkspaceSettings = ConfigurationDocument['workspaces'][number];
/** A key of a workspace, stored as its SHA-256 hash. */
export type KeySettings = ConfigurationDocument['keys'][number];
/** An object to drain, identified by kind and name. */
export type DrainSettings = ConfigurationDocument['drains'][number];
/** Limit on the share of a service's traffic that may be shifted: in total, and as an increase per minute. */
export type ShiftCapSettings = ConfigurationDocument['shiftCaps'][number];

/** A problem that involves more than one object of the document. */
export type ReferenceProblem = {readonly path: ReadonlyArray<string | number>; readonly message: string};

/** Yields duplicate names, key hashes and routes, and references to objects that do not exist. */
export function * checkReferences(document: ConfigurationDocument): Generator<ReferenceProblem> {
	yield * duplicateNames('classes', document.classes.map(entry => entry.name));
	yield * duplicateNames('services', document.services.map(entry => entry.name));
	yield * duplicateNames('workspaces', document.workspaces.map(entry => entry.name));
	yield * duplicateNames('keys', document.keys.map(entry => entry.id));
	yield * duplicateHashes(document.keys);
	yield * duplicateNames('shiftCaps', document.shiftCaps.map(entry => entry.service));
	yield * duplicateRoutes(document.services);
	const classes = new Set(document.classes.map(entry => entry.name));
	for (const [index, service] of document.services.entries()) {
		for (const [routeIndex, route] of service.routes.entries()) {
			if (!classes.has(route.class)) {
				yield {path: ['services', index, 'routes', routeIndex, 'class'], message: `class ${route.class} does not exist`};
			}
		}
	}

	const workspaces = new Set(document.workspaces.map(entry => entry.name));
	for (const [index, key] of document.keys.entries()) {
		if (!workspaces.has(key.workspace)) {
			yield {path: ['keys', index, 'workspace'], message: `workspace ${key.workspace} does not exist`};
		}
	}

	const services = new Set(document.services.map(entry => entry.name));
	for (const [index, cap] of document.shiftCaps.entries()) {
		if (!services.has(cap.service)) {
			yield {path: ['shiftCaps', index, 'service'], message: `service ${cap.service} does not exist`};
		}
	}
}

/** Maximum time since the keys were last confirmed as current during which keyed requests of a class are served, in milliseconds. */
export function staleKeysServeMs(settings: ClassSettings): number {
	return settings.staleKeysServeMs ?? defaultStaleKeysServeMs[settings.safety];
}

/** Yields keys with equal hashes: if they belonged to two workspaces, a request with this key could not be assigned to either. */
function * duplicateHashes(keys: readonly KeySettings[]): Generator<ReferenceProblem> {
	const keyIdByHash = new Map<string, string>();
	for (const [index, {id, sha256}] of keys.entries()) {
		const earlierKeyId = keyIdByHash.get(sha256);
		if (earlierKeyId !== undefined) {
			yield {path: ['keys', index, 'sha256'], message: `key ${id} has the same hash as key ${earlierKeyId}`};
		}

		keyIdByHash.set(sha256, id);
	}
}

/** Yields routes that are defined twice: entry daemons select the service of a request by method and path alone. */
function * duplicateRoutes(services: readonly ServiceSettings[]): Generator<ReferenceProblem> {
	const serviceByRoute = new Map<string, string>();
	for (const [index, service] of services.entries()) {
		for (const [routeIndex, {method, pathPrefix}] of service.routes.entries()) {
			const route = `${method} ${pathPrefix}`;
			const earlierService = serviceByRoute.get(route);
			if (earlierService !== undefined) {
				yield {path: ['services', index, 'routes', routeIndex], message: `${route} is already a route of service ${earlierService}`};
			}

			serviceByRoute.set(route, service.name);
		}
	}
}

function * duplicateNames(list: string, names: readonly string[]): Generator<ReferenceProblem> {
	const seen = new Set<string>();
	for (const [index, entry] of names.entries()) {
		if (seen.has(entry)) {
			yield {path: [list, index], message: `${entry} appears twice in ${list}`};
		}

		seen.add(entry);
	}
}
