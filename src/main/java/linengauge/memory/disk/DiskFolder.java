package linengauge.memory.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import linengauge.memory.Folder;

/**
 * A folder in the file system, locked by one process at a time. The system releases the lock when
 * the process ends, however it does.
 */
public final class DiskFolder implements Folder, AutoCloseable {
  private static final String LOCK_NAME = "lock";

  private final Path path;
  private final FileChannel lockFile;
  private final FileLock lock;

  /**
   * Creates the folder if it does not exist, and locks it.
   *
   * @throws IOException if the folder cannot be created or another process holds the lock
   */
  public DiskFolder(Path path) throws IOException {
    this.path = path;
    Files.createDirectories(path);
    lockFile =
        FileChannel.open(
            path.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock acquired;
    try {
      acquired = lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      acquired = null; // this process already holds the lock
    }
    if (acquired == null) {
      lockFile.close();
      throw new IOException(path + " is in use by another front");
    }
    lock = acquired;
  }

  @Override
  public List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(path)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK_NAME))
          .sorted()
          .toList();
    }
  }

  @Override
  public byte[] read(String name, int maxBytes) throws IOException {
    try (FileChannel file = FileChannel.open(path.resolve(name), StandardOpenOption.READ)) {
      if (file.size() > maxBytes) {
        throw new IOException(name + " has " + file.size() + " bytes; the limit is " + maxBytes);
      }
      ByteBuffer bytes = ByteBuffer.allocate((int) file.size());
      while (bytes.hasRemaining() && file.read(bytes) >= 0) {
        continue;
      }
      return java.util.Arrays.copyOf(bytes.array(), bytes.position());
    }
  }

  @Override
  public void write(String name, byte[] bytes) throws IOException {
    try (FileChannel file =
        FileChannel.open(
            path.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer remaining = ByteBuffer.wrap(bytes);
      while (remaining.hasRemaining()) {
        file.write(remaining);
      }
      file.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(path.resolve(name));
  }

  @Override
  public void sync() throws IOException {
    try (FileChannel folder = FileChannel.open(path, StandardOpenOption.READ)) {
      folder.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    lock.release();
    lockFile.close();
  }
}
