/** A service that a route sends a part of its requests to. */
export type RoutePart = {readonly service: string; readonly weight: number};

/** A route of a host. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	/** Whether a request may run more than once. */
	readonly isRepeatable: boolean;
	/** Longest time a caller is kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency target in milliseconds. */
	readonly targetMs: number;
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	/** Backend servers that one request may be sent to. */
	readonly maxAttempts: number;
	/** Whether requests need no key. */
	readonly isOpen: boolean;
	/** Whether requests for the same object should go to the same backend server. */
	readonly hasAffinity: boolean;
	/** Regions that may serve the route; empty for all. */
	readonly homeRegions: readonly string[];
	readonly parts: readonly RoutePart[];
};

/** A service and what its backend servers bear. */
export type Service = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections a backend server accepts from all callers together. */
	readonly maxConnections: number;
	/** How long a backend server stays cold after its start, in milliseconds. */
	readonly coldStartMs: number;
	/** Requests per second that a cold backend server tolerates; 0 if it has no such limit. */
	readonly coldRatePerS: number;
};

/** A workspace, its keys and its limits. */
export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Rank that takes precedence over the route's; undefined to use the route's. */
	readonly priority: number | undefined;
	/** 0 for no limit. */
	readonly ratePerS: number;
	readonly burst: number;
	/** Regions that may serve the workspace; empty for all. */
	readonly homeRegions: readonly string[];
};

/** Limits on what callers may send. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A whole configuration; higher versions replace lower ones. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	/** Empty if no route needs a key. */
	readonly workspaces: readonly Workspace[];
	readonly limits: CallerLimits;
};

/** Look-up tables of a configuration. */
export class ConfigurationIndex {
	readonly services: ReadonlyMap<string, Service>;
	readonly workspaces: ReadonlyMap<string, Workspace>;
	readonly #routes = new Map<string, Route[]>();
	readonly #keys = new Map<string, Workspace>();

	constructor(readonly configuration: Configuration) {
		this.services = new Map(configuration.services.map(service => [service.name, service]));
		this.workspaces = new Map(configuration.workspaces.map(workspace => [workspace.name, workspace]));
		for (const route of configuration.routes) {
			const routes = this.#routes.get(route.host);
			if (routes === undefined) {
				this.#routes.set(route.host, [route]);
			} else {
				routes.push(route);
			}
		}

		for (const routes of this.#routes.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		for (const workspace of configuration.workspaces) {
			for (const key of workspace.keys) {
				this.#keys.set(key, workspace);
			}
		}
	}

	get version(): number {
		return this.configuration.version;
	}

	/** Whether routes that are not open need a key. */
	get hasWorkspaces(): boolean {
		return this.workspaces.size > 0;
	}

	/** The route with the longest matching prefix; `path` may carry a query. */
	findRoute(host: string, path: string): Route | undefined {
		return this.#routes.get(host)?.find(route => path.startsWith(route.pathPrefix));
	}

	/** The workspace that holds a key. */
	workspaceOfKey(key: string): Workspace | undefined {
		return this.#keys.get(key);
	}
}
