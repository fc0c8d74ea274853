import {
	Access, documentSchema, Safety, type ConfigurationDocument,
} from './document.js';

/** A small valid document, for tests. */
export function sampleDocument(overrides: Partial<ConfigurationDocument> = {}): ConfigurationDocument {
	return documentSchema.parse({
		classes: [{
			name: 'check', latenessTargetMs: 100, deadlineMs: 1000, safety: Safety.repeatable,
		}],
		services: [{
			name: 'booking', routes: [{
				method: 'GET', pathPrefix: '/availability', class: 'check', access: Access.keyed,
			}],
		}],
		workspaces: [{name: 'bole', ratePerS: 10, burst: 20}, {name: 'piassa', ratePerS: 5, burst: 5}],
		...overrides,
	});
}

/** The sample document with `count` workspaces and one key for each. */
export function largeDocument(count: number): ConfigurationDocument {
	const names = Array.from({length: count}, (_, index) => `workspace-${index}`);
	return sampleDocument({
		workspaces: names.map(name => ({name, ratePerS: 10, burst: 20})),
		keys: names.map((name, index) => ({id: `key-${index}`, workspace: name, sha256: index.toString(16).padStart(64, '0')})),
	});
}
