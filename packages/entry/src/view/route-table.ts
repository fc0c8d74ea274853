import {type ClassSettings, type ConfigurationDocument, type RouteSettings} from '@fescuewick/config';

/** Service, route and class settings of a request. */
export type RouteMatch = {readonly service: string; readonly route: RouteSettings; readonly settings: ClassSettings};

/** Finds the route of a request; the longest matching path prefix wins. */
export class RouteTable {
	readonly #byMethod = new Map<string, RouteMatch[]>();

	constructor(document: ConfigurationDocument) {
		const classes = new Map(document.classes.map(settings => [settings.name, settings]));
		for (const service of document.services) {
			for (const route of service.routes) {
				const settings = classes.get(route.class);
				if (settings !== undefined) {
					const matches = this.#byMethod.get(route.method) ?? [];
					matches.push({service: service.name, route, settings});
					this.#byMethod.set(route.method, matches);
				}
			}
		}

		for (const matches of this.#byMethod.values()) {
			matches.sort((a, b) => b.route.pathPrefix.length - a.route.pathPrefix.length);
		}
	}

	/** The route for a method and a validated path; HEAD falls back to the route of GET. */
	match(method: string, path: string): RouteMatch | undefined {
		return this.#findExact(method, path) ?? (method === 'HEAD' ? this.#findExact('GET', path) : undefined);
	}

	#findExact(method: string, path: string): RouteMatch | undefined {
		return this.#byMethod.get(method)?.find(({route}) => matchesPrefix(path, route.pathPrefix));
	}
}

/** A prefix ends at a path segment, so that `/check` does not match `/checkout`. */
function matchesPrefix(path: string, prefix: string): boolean {
	return path.startsWith(prefix) && (path.length === prefix.length || prefix.endsWith('/') || path[prefix.length] === '/');
}
