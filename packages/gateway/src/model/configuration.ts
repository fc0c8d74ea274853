/** A service of a route and its weight in the traffic split. */
export type RoutePart = {readonly service: string; readonly weight: number};

/** A route of a host, matched by path prefix. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	/** Whether a request may run more than once. */
	readonly isRepeatable: boolean;
	/** Whether requests or answers are large, so that they should stay in the failure domain of this VM. Absent in copies from peers that do not know it. */
	readonly hasLargeBodies?: boolean;
	/** Request timeout for callers. */
	readonly timeoutMs: number;
	/** Latency target. */
	readonly targetMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Maximum number of backend servers that one request is sent to. */
	readonly maxAttempts: number;
	/** Whether requests need no API key. */
	readonly isOpen: boolean;
	/** Whether requests for the same object should go to the same backend server. */
	readonly hasAffinity: boolean;
	/** Regions that may serve the route; empty for all. */
	readonly homeRegions: readonly string[];
	readonly parts: readonly RoutePart[];
};

/** A service and the limits of its backend servers. */
export type Service = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that a backend server accepts from all VMs together. */
	readonly maxConnections: number;
	/** How long a backend server stays cold after its start. */
	readonly coldStartMs: number;
	/** Requests per second that a cold backend server tolerates; 0 if it has no such limit. */
	readonly coldRatePerS: number;
};

/** A workspace, its keys and its limits. */
export type Workspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the priority of the route; undefined to use the route's. */
	readonly priority: number | undefined;
	/** 0 for no limit. */
	readonly ratePerS: number;
	readonly burst: number;
	/** Regions that may serve the workspace; empty for all. */
	readonly homeRegions: readonly string[];
};

/** Size and time limits on callers' requests and connections. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** A value of a configuration that this version does not know and reads with the safest meaning. */
export type UnknownValue = {
	/** The route or workspace that carries it. */
	readonly owner: string;
	readonly field: string;
	/** As JSON, cut to a short length. */
	readonly value: string;
};

/** A complete configuration; higher versions replace lower ones. */
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly workspaces: readonly Workspace[];
	/** Whether routes that are not open need an API key, also if there is no workspace to hold one. Absent in copies from peers that do not know it. */
	readonly needsKeys?: boolean;
	readonly limits: CallerLimits;
	/** Absent in copies from peers that know no such list. */
	readonly unknownValues?: readonly UnknownValue[];
};

/** Lookup tables of a configuration. */
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

	/** Whether routes that are not open need an API key. */
	get needsKeys(): boolean {
		return this.configuration.needsKeys ?? this.workspaces.size > 0;
	}

	/** The route with the longest matching prefix; `path` may include a query string. */
	findRoute(host: string, path: string): Route | undefined {
		return this.#routes.get(host)?.find(route => path.startsWith(route.pathPrefix));
	}

	/** The workspace that an API key belongs to. */
	workspaceOfKey(key: string): Workspace | undefined {
		return this.#keys.get(key);
	}
}
