import {type Route, type Workspace} from '../model/configuration.js';

/** Regions that may serve a request of a route and workspace; undefined for all. */
export function homesOf(route: Route, workspace: Workspace | undefined): readonly string[] | undefined {
	const routeHomes = route.homeRegions;
	const workspaceHomes = workspace?.homeRegions ?? [];
	if (routeHomes.length === 0) {
		return workspaceHomes.length === 0 ? undefined : workspaceHomes;
	}

	return workspaceHomes.length === 0 ? routeHomes : routeHomes.filter(region => workspaceHomes.includes(region));
}

/** The region in which a request with homes runs if there is room: the VM's own if it is a home, else the first one. */
export function boundRegion(homes: readonly string[] | undefined, own: string): string | undefined {
	return homes?.includes(own) ? own : homes?.[0];
}
