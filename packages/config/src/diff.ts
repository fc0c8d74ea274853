import {isDeepStrictEqual} from 'node:util';
import {
	entryName, type ListEntry, type ListName,
} from './canonical.js';
import {type ConfigurationDocument, type RouteSettings} from './document.js';
import {listNames} from './parts.js';

/** How an object differs between two documents. */
export enum ChangeKind {
	added = 'added',
	removed = 'removed',
	changed = 'changed',
}

/** One field that differs; a value is undefined where the field is absent. */
export type FieldChange = {readonly field: string; readonly before: unknown; readonly after: unknown};

/** One object that differs between two documents. */
export type ObjectChange = {
	readonly kind: ChangeKind;
	readonly list: ListName;
	readonly name: string;
	/** Fields that differ; for an added or removed object, all its fields. */
	readonly fields: readonly FieldChange[];
};

/** Compares two documents, matching objects by name. The order of lists is ignored; the order of routes is significant. */
export function diffDocuments(before: ConfigurationDocument | undefined, after: ConfigurationDocument): ObjectChange[] {
	return listNames.flatMap(list => [...diffList(list, before?.[list] ?? [], after[list])]);
}

/** Changes that two operators made concurrently to the same base configuration. */
export type ConflictReport = {
	readonly mine: readonly ObjectChange[];
	readonly theirs: readonly ObjectChange[];
	/** Objects that both operators changed, including those to which both made the same change. */
	readonly sameObjects: ReadonlyArray<{readonly list: ListName; readonly name: string}>;
};

/** Three-way diff: compares the operator's document `mine` and the configuration in force `theirs`, each with their common `base`. */
export function createConflictReport(base: ConfigurationDocument | undefined, mine: ConfigurationDocument, theirs: ConfigurationDocument): ConflictReport {
	const ownChanges = diffDocuments(base, mine);
	const otherChanges = diffDocuments(base, theirs);
	const ownObjectIds = new Set(ownChanges.map(change => objectId(change)));
	return {
		mine: ownChanges,
		theirs: otherChanges,
		sameObjects: otherChanges.filter(change => ownObjectIds.has(objectId(change))).map(({list, name}) => ({list, name})),
	};
}

/** Formats an object change as one line, for example `~ workspaces/bole ratePerS 10 -> 20`. */
export function formatChange({kind, list, name, fields}: ObjectChange): string {
	const sign = {[ChangeKind.added]: '+', [ChangeKind.removed]: '-', [ChangeKind.changed]: '~'}[kind];
	const details = kind === ChangeKind.changed
		? fields.map(({field, before, after}) => ` ${field} ${formatValue(before)} -> ${formatValue(after)}`).join(',')
		: '';
	return `${sign} ${list}/${name}${details}`;
}

/** Summarizes changes for the change record, in at most 120 characters. */
export function summarizeChanges(changes: readonly ObjectChange[]): string {
	const text = changes.map(change => formatChange(change)).join('; ');
	return text.length <= 120 ? text : `${text.slice(0, 100).replace(/; [^;]*$/, '')}; ${changes.length} objects in all`;
}

function objectId({list, name}: {list: ListName; name: string}): string {
	return `${list}/${name}`;
}

function formatValue(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value) ?? '(none)';
}

function * diffList(list: ListName, before: readonly ListEntry[], after: readonly ListEntry[]): Generator<ObjectChange> {
	const previous = new Map(before.map(entry => [entryName(list, entry), flattenEntry(entry)]));
	const current = new Map(after.map(entry => [entryName(list, entry), flattenEntry(entry)]));
	for (const name of [...new Set([...previous.keys(), ...current.keys()])].sort((a, b) => (a < b ? -1 : 1))) {
		const from = previous.get(name);
		const to = current.get(name);
		const fields = [...diffFields(from ?? new Map(), to ?? new Map())];
		if (from === undefined) {
			yield {
				kind: ChangeKind.added, list, name, fields,
			};
		} else if (to === undefined) {
			yield {
				kind: ChangeKind.removed, list, name, fields,
			};
		} else if (fields.length > 0) {
			yield {
				kind: ChangeKind.changed, list, name, fields,
			};
		}
	}
}

function * diffFields(before: ReadonlyMap<string, unknown>, after: ReadonlyMap<string, unknown>): Generator<FieldChange> {
	for (const field of new Set([...before.keys(), ...after.keys()])) {
		if (!isDeepStrictEqual(before.get(field), after.get(field))) {
			yield {field, before: before.get(field), after: after.get(field)};
		}
	}
}

function flattenEntry(entry: ListEntry): Map<string, unknown> {
	const fields = new Map<string, unknown>(Object.entries(entry).filter(([, value]) => value !== undefined));
	if (!('routes' in entry)) {
		return fields;
	}

	fields.delete('routes');
	for (const route of entry.routes) {
		fields.set(`route ${routeName(route)}`, `${route.class} ${route.access}`);
	}

	if (entry.routes.length > 1) {
		fields.set('routeOrder', entry.routes.map(route => routeName(route)).join(', '));
	}

	return fields;
}

function routeName({method, pathPrefix}: RouteSettings): string {
	return `${method} ${pathPrefix}`;
}
