import {type SnapshotBody} from './snapshot-messages.js';

/** Rows of a snapshot by table and key; fields and short lists are rows of the table `fields`. */
export type SnapshotTables = Map<string, Map<string, unknown>>;

const fieldsTable = 'fields';
const configurationPrefix = 'configuration.';

/** Row key of each list that is sent row by row; the order of these lists has no meaning. */
const rowKeyByList: Readonly<Record<string, (row: never) => string>> = {
	members: ({vm}: {vm: string}) => vm,
	vmStates: ({vm}: {vm: string}) => vm,
	backends: ({server, service}: {server: string; service: string}) => `${service}/${server}`,
	loads: ({service, failureDomain}: {service: string; failureDomain: string}) => `${service}/${failureDomain}`,
	revokedKeyHashes: (hash: string) => hash,
	[`${configurationPrefix}workspaces`]: ({name}: {name: string}) => name,
	[`${configurationPrefix}keys`]: ({id}: {id: string}) => id,
};

/** Splits a snapshot into rows that can be compared and sent one by one. */
export function splitSnapshot({configuration, ...snapshot}: SnapshotBody): SnapshotTables {
	const tables: SnapshotTables = new Map([[fieldsTable, new Map<string, unknown>()]]);
	for (const [name, value] of Object.entries(snapshot)) {
		addField(tables, name, value);
	}

	if (typeof configuration === 'object' && configuration !== null && !Array.isArray(configuration)) {
		for (const [name, value] of Object.entries(configuration)) {
			addField(tables, `${configurationPrefix}${name}`, value);
		}
	} else {
		addField(tables, 'configuration', configuration);
	}

	return tables;
}

/** Inverse of `splitSnapshot`. */
export function joinSnapshot(tables: SnapshotTables): SnapshotBody {
	const snapshot: Record<string, unknown> = {};
	const configuration: Record<string, unknown> = {};
	for (const [name, value] of fieldsOf(tables)) {
		if (name.startsWith(configurationPrefix)) {
			configuration[name.slice(configurationPrefix.length)] = value;
		} else {
			snapshot[name] = value;
		}
	}

	const joined: unknown = {configuration, ...snapshot};
	return joined as SnapshotBody;
}

function * fieldsOf(tables: SnapshotTables): Generator<[string, unknown]> {
	for (const [table, rows] of tables) {
		if (table === fieldsTable) {
			yield * rows;
		} else {
			yield [table, [...rows.values()]];
		}
	}
}

function addField(tables: SnapshotTables, name: string, value: unknown): void {
	const rows = Array.isArray(value) ? toRowsByKey(name, value as unknown[]) : undefined;
	if (rows === undefined) {
		tables.get(fieldsTable)!.set(name, value);
	} else {
		tables.set(name, rows);
	}
}

/** Undefined for lists without row keys, and for lists with duplicate keys, which would lose rows in a map. */
function toRowsByKey(name: string, list: readonly unknown[]): Map<string, unknown> | undefined {
	const keyOf = rowKeyByList[name] as ((row: unknown) => string) | undefined;
	if (keyOf === undefined) {
		return undefined;
	}

	const rows = new Map(list.map(row => [keyOf(row), row]));
	return rows.size === list.length ? rows : undefined;
}
