export {readBounded, rejectInvalidStatuses} from '@fescuewick/entry/http';
export * from './forward/header-dialect.js';
export * from './gateway.js';
export * from './model/configuration.js';
export * from './model/records.js';
export * from './server/auxiliary-servers.js';
export * from './settings.js';
