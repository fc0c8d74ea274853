import {stringify} from 'yaml';
import {
	documentSchema, type ClassSettings, type ConfigurationDocument, type DrainSettings, type KeySettings, type ServiceSettings, type ShiftCapSettings, type WorkspaceSettings,
} from './document.js';

/** Top-level lists of the document. */
export type ListName = keyof ConfigurationDocument;
/** An entry of a top-level list; messages and diffs call it an object. */
export type ListEntry = ClassSettings | ServiceSettings | WorkspaceSettings | KeySettings | DrainSettings | ShiftCapSettings;

/** Name that identifies an entry within its list. */
export function entryName(list: ListName, entry: ListEntry): string {
	switch (list) {
		case 'keys': {
			return (entry as KeySettings).id;
		}

		case 'drains': {
			const {kind, name} = entry as DrainSettings;
			return `${kind}/${name}`;
		}

		case 'shiftCaps': {
			return (entry as ShiftCapSettings).service;
		}

		case 'classes':
		case 'services':
		case 'workspaces': {
			return (entry as WorkspaceSettings).name;
		}
	}
}

/** Sorts entries by name in code-unit order, which is the same in every locale. */
export function sortEntries<Entry extends ListEntry>(list: ListName, entries: readonly Entry[]): Entry[] {
	return entries
		.map(entry => ({entry, name: entryName(list, entry)}))
		.sort((a, b) => (a.name < b.name ? -1 : (a.name > b.name ? 1 : 0)))
		.map(({entry}) => entry);
}

/** The document with sorted lists, defaults filled in and fields in the order of the schema; routes keep their order. */
export function canonicalDocument(document: ConfigurationDocument): ConfigurationDocument {
	const parsed = documentSchema.parse(document);
	return {
		classes: sortEntries('classes', parsed.classes),
		services: sortEntries('services', parsed.services),
		workspaces: sortEntries('workspaces', parsed.workspaces),
		keys: sortEntries('keys', parsed.keys),
		drains: uniqueDrains(parsed.drains),
		shiftCaps: sortEntries('shiftCaps', parsed.shiftCaps),
	};
}

/** Formats the canonical document as YAML; if `revision` is given, a first comment line records it as the base of later edits. */
export function formatConfiguration(document: ConfigurationDocument, revision?: number): string {
	const header = revision === undefined ? '' : `# revision: ${revision}\n`;
	return header + stringify(canonicalDocument(document), {lineWidth: 0});
}

/** Base revision recorded in a configuration text by `formatConfiguration`; undefined if there is none. */
export function baseRevisionOf(text: string): number | undefined {
	const match = /^# revision: (\d+)$/m.exec(text.slice(0, 1000));
	return match === null ? undefined : Number(match[1]);
}

function uniqueDrains(drains: readonly DrainSettings[]): DrainSettings[] {
	const byName = new Map(drains.map(drain => [entryName('drains', drain), drain]));
	return sortEntries('drains', [...byName.values()]);
}
