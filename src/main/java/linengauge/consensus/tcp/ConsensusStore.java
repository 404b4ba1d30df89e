package linengauge.consensus.tcp;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import linengauge.consensus.PersistentState;
import linengauge.consensus.SaveFailedException;
import linengauge.memory.Snapshots;
import linengauge.memory.disk.DiskFolder;

/**
 * A voter's state in a folder, in generations ({@link Snapshots}). A newer generation that is
 * broken is no reason to go back to the one before: what was promised with it would be forgotten.
 * Such a folder is refused; its front has to be taken out of the council and brought up again with
 * another.
 */
public final class ConsensusStore implements AutoCloseable {
  private static final String NAME = "council";
  private static final int FORMAT = 1;

  private final DiskFolder folder;
  private final Snapshots generations;
  private final PersistentState first;

  /**
   * @throws IOException that the folder cannot be used, in use by another, or holds what must not
   *     be trusted
   */
  public ConsensusStore(Path path) throws IOException {
    folder = new DiskFolder(path);
    try {
      generations = new Snapshots(folder, NAME, FORMAT, PersistentState.MOST);
      first = read(path);
    } catch (IOException e) {
      folder.close();
      throw e;
    }
  }

  private PersistentState read(Path path) throws IOException {
    Snapshots.ReadResult r = generations.read();
    switch (r.found()) {
      case NOTHING -> {
        return null;
      }
      case NEWER -> throw new IOException(path + ": a council's state of a newer program");
      case WHOLE -> {
        List<String> newer =
            r.broken().stream()
                .filter(n -> Long.parseLong(n.substring(NAME.length() + 1)) > r.generation())
                .toList();
        if (!newer.isEmpty()) {
          throw new IOException(
              path
                  + ": "
                  + newer
                  + " broken: what it promised is lost; this front cannot vote with this folder");
        }
        try {
          return PersistentState.read(r.table());
        } catch (IllegalArgumentException e) {
          throw new IOException(
              path + ": a council's state that cannot be read: " + e.getMessage(), e);
        }
      }
      default ->
          throw new IOException(path + ": all generations of the council's state are broken");
    }
  }

  /** What was there at the start; null where nothing was. */
  public PersistentState first() {
    return first;
  }

  public void save(PersistentState saved) throws SaveFailedException {
    try {
      generations.save(saved.bytes());
    } catch (IOException e) {
      throw new SaveFailedException(e.getMessage(), e);
    }
  }

  @Override
  public void close() throws IOException {
    folder.close();
  }
}
