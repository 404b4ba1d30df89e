package linengauge.platform.connection;

/** How a connection to a server ended. */
public enum CloseCause {
  /** The server, or the system on its machine, has closed or reset it. */
  BY_SERVER,

  /** This front has closed it, as it cannot be used any more. */
  BY_FRONT,

  /** This front has closed it, as nothing was open on it; the server has nothing left to send. */
  IDLE,

  /** It was never established: nothing answered. */
  NOT_REACHED,

  /** It was never established: nothing listens at the address. */
  REFUSED
}
