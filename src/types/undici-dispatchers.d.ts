// The package root loads fetch, caches and WebSocket as well, which a host does not need and which
// cost memory and start-up time.
declare module 'undici/lib/dispatcher/client.js' {
  import {Client} from 'undici';
  export default Client;
}
declare module 'undici/lib/dispatcher/pool.js' {
  import {Pool} from 'undici';
  export default Pool;
}
