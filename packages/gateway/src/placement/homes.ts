import {type Route, type Workspace} from '../model/configuration.js';

/** Home regions that may serve a request of a route and workspace; undefined for all regions. */
export function allowedHomeRegions(route: Route, workspace: Workspace | undefined): readonly string[] | undefined {
	const routeHomes = route.homeRegions;
	const workspaceHomes = workspace?.homeRegions ?? [];
	if (routeHomes.length === 0) {
		return workspaceHomes.length === 0 ? undefined : workspaceHomes;
	}

	return workspaceHomes.length === 0 ? routeHomes : routeHomes.filter(region => workspaceHomes.includes(region));
}

/** The region in which a request with home regions runs if it has capacity: the VM's own region if it is a home, otherwise the first home. */
export function boundRegionOf(homes: readonly string[] | undefined, ownRegion: string): string | undefined {
	return homes?.includes(ownRegion) ? ownRegion : homes?.[0];
}
